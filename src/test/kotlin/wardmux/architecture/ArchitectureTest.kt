package wardmux.architecture

import com.tngtech.archunit.base.DescribedPredicate
import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.domain.JavaModifier
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.Serializable

/**
 * Enforces the layers of `docs/architecture.md`. Guards against dependencies between packages that
 * form cycles, sockets, threads and clocks in the core, and wire formats that are used outside the
 * packages that handle them.
 */
class ArchitectureTest {
    private fun check(rule: ArchRule) = rule.check(ProductionClasses.all)

    @Test
    fun `dependencies between packages form no cycle`() =
        check(slices().matching("wardmux.(*)..").should().beFreeOfCycles())

    @Test
    fun `the model depends on no other package of this project`() =
        check(
            noClasses()
                .that()
                .resideInAPackage("wardmux.model..")
                .should()
                .dependOnClassesThat(ownClassesOutside("model"))
        )

    @Test
    fun `the core uses no sockets and no threads`() =
        check(
            noClasses()
                .that(belongToTheCore())
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(*SOCKETS_AND_THREADS)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread::class.java)
        )

    @Test
    fun `the core reads no clock`() =
        check(
            noClasses()
                .that(belongToTheCore())
                .should()
                .callMethod(System::class.java, "nanoTime")
                .orShould()
                .callMethod(System::class.java, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant::class.java, "now")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.time.Clock::class.java)
        )

    @Test
    fun `only the listed packages use messages of the protocols`() {
        for ((messages, users) in PACKAGES_BY_MESSAGE) {
            check(
                classes()
                    .that()
                    .haveNameMatching(messages)
                    .should()
                    .onlyHaveDependentClassesThat()
                    .resideInAnyPackage(*users)
            )
        }
    }

    @Test
    fun `constructors take at most eight parameters except for data and serialized classes`() {
        val tooManyParameters =
            ProductionClasses.all
                .filterNot { isDataOrSerialized(it) }
                .flatMap { it.constructors }
                .filterNot { JavaModifier.SYNTHETIC in it.modifiers }
                .filter { it.rawParameterTypes.size > MAX_CONSTRUCTOR_PARAMETERS }
        assertEquals(
            emptyList(),
            tooManyParameters.map { "${it.owner.name}: ${it.rawParameterTypes.size}" },
        )
    }

    /**
     * True for serialized and data classes, which may have more constructor parameters: they need
     * one for each field of what they describe.
     */
    private fun isDataOrSerialized(type: JavaClass) =
        type.isAnnotatedWith(Serializable::class.java) ||
            type.methods.any { it.name == "component1" }

    private fun ownClassesOutside(name: String) =
        object : DescribedPredicate<JavaClass>("classes of other packages of wardmux") {
            override fun test(type: JavaClass) =
                type.packageName.startsWith(ROOT) &&
                    type.packageName != "$ROOT.$name" &&
                    !type.packageName.startsWith("$ROOT.$name.")
        }

    /**
     * Matches all classes except the process that runs the core, HTTP, the command line, the
     * settings files and logging.
     */
    private fun belongToTheCore() =
        object : DescribedPredicate<JavaClass>("classes of the core") {
            override fun test(type: JavaClass) =
                type.packageName.startsWith(ROOT) &&
                    OUTER_PACKAGES.none { type.packageName.startsWith("$ROOT.$it") } &&
                    (type.packageName != "$ROOT.app" || type.simpleName == "Controller")
        }

    private companion object {
        const val ROOT = ProductionClasses.ROOT_PACKAGE
        const val MAX_CONSTRUCTOR_PARAMETERS = 8
        val OUTER_PACKAGES = listOf("http", "cli", "config", "logging")
        val SOCKETS_AND_THREADS =
            arrayOf(
                "java.net..",
                "java.nio.channels..",
                "java.util.concurrent..",
                "io.netty..",
                "wardmux.http..",
            )

        /** Name patterns of message classes, each with the packages that may use them. */
        val PACKAGES_BY_MESSAGE =
            mapOf(
                "wardmux\\.worker\\.(WorkerHeartbeat|ReportedTask|WorkerCommand|DirectCommands)(\\$.*)?" to
                    arrayOf(
                        "wardmux.worker..",
                        "wardmux.fleet..",
                        "wardmux.lease..",
                        "wardmux.forwarding..",
                        "wardmux.leader..",
                        "wardmux.app..",
                    ),
                "wardmux\\.cloud\\.(Rental|MachineList|MachineTypes)(Request|Response)(\\$.*)?" to
                    arrayOf("wardmux.cloud.."),
                "wardmux\\.cloud\\.(ListedMachine|MachineIds)(\\$.*)?" to
                    arrayOf("wardmux.cloud.."),
                "wardmux\\.store\\..*(Wire|Message)(\\$.*)?" to arrayOf("wardmux.store.."),
            )
    }
}
