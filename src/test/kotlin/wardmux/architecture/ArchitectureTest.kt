package wardmux.architecture

import com.tngtech.archunit.base.DescribedPredicate
import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.domain.JavaModifier
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.ArchRule
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.Serializable

/**
 * Holds the layers of `docs/architecture.md`: which packages may use which, and what the core may
 * use.
 */
class ArchitectureTest {
    private fun check(rule: ArchRule) = rule.check(PRODUCTION_CLASSES)

    @Test
    fun `packages depend on each other in one direction only`() =
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
    fun `the core opens no socket and starts no thread`() =
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
    fun `only the edge uses messages of the protocols`() {
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
    fun `constructors take at most eight parameters, but for messages, records and settings`() {
        val tooManyParameters =
            PRODUCTION_CLASSES.filterNot { isDataOrSerialized(it) }
                .flatMap { it.constructors }
                .filterNot { JavaModifier.SYNTHETIC in it.modifiers }
                .filter { it.rawParameterTypes.size > MAX_CONSTRUCTOR_PARAMETERS }
        assertEquals(
            emptyList(),
            tooManyParameters.map { "${it.owner.name}: ${it.rawParameterTypes.size}" },
        )
    }

    /** Serialized classes and data classes have as many fields as what they describe. */
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

    /** All but the process around the core, its sockets, and the operators' command line. */
    private fun belongToTheCore() =
        object : DescribedPredicate<JavaClass>("classes of the core") {
            override fun test(type: JavaClass) =
                type.packageName.startsWith(ROOT) &&
                    OUTER_PACKAGES.none { type.packageName.startsWith("$ROOT.$it") } &&
                    (type.packageName != "$ROOT.app" || type.simpleName == "Controller")
        }

    private companion object {
        const val ROOT = "wardmux"
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

        /** Messages by name, and the packages that may use them. */
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
                "wardmux\\.cloud\\.(RentalOrder|ListedMachine|ListWire)(\\$.*)?" to
                    arrayOf("wardmux.cloud.."),
                "wardmux\\.store\\..*(Wire|Message)(\\$.*)?" to arrayOf("wardmux.store.."),
            )

        val PRODUCTION_CLASSES: JavaClasses =
            ClassFileImporter()
                .withImportOption(ImportOption.DoNotIncludeTests())
                .importPackages(ROOT)
    }
}
