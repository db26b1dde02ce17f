package wardmux.app

import com.tngtech.archunit.core.domain.JavaClass
import java.io.DataInputStream
import java.io.File
import java.io.InputStream
import java.lang.reflect.Modifier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import wardmux.architecture.ProductionClasses
import wardmux.cli.DrainExit
import wardmux.fleet.DecommissionReason

/**
 * Guards against a renamed identifier that changes a name known outside the process: in messages,
 * stored data, settings, paths, command line options, metrics or log lines that operators search.
 * `external-names.txt` lists these names; each section is compared with what the compiled classes
 * declare.
 */
class ExternalNamesTest {
    private val listed = ExternalNames.read(File(LIST_FILE))
    private val classes = ProductionClasses.all.toList()

    /** The list has one line per serialized class: its fields in order, optional ones with '?'. */
    @Test
    fun `fields of messages, records and settings are those listed`() =
        assertEquals(listed.getValue("fields"), descriptors().mapNotNull(::fields).sorted())

    @Test
    fun `values of serialized enums are those listed`() =
        assertEquals(listed.getValue("values"), enums().map(::elementNames).distinct().sorted())

    /** Covers paths, key prefixes and single words that are declared as constants. */
    @Test
    fun `constants without a space are those listed`() =
        assertEquals(listed.getValue("constants"), stringConstants().sorted())

    @Test
    fun `commands and options are those listed`() =
        assertEquals(
            listed.getValue("command line"),
            options(CommandLine(WardmuxCommand()).commandSpec).sorted(),
        )

    @Test
    fun `exit codes are those listed`() {
        val ofDrains =
            DrainExit::class
                .java
                .declaredFields
                .filter { it.type == Int::class.java }
                .map { it.getInt(null) }
        val invalidSettings =
            CommandLine(WardmuxCommand()).execute("check", "--config", "missing.toml")
        assertEquals(
            listed.getValue("exit codes"),
            (ofDrains + invalidSettings).sorted().map { it.toString() },
        )
    }

    /** Names without a declaration: each must still be a string constant in some class file. */
    @Test
    fun `literals that are listed are still in the code`() {
        val literals = classes.flatMapTo(HashSet()) { ClassFileStrings.read(openClassFile(it)) }
        assertEquals(emptyList(), listed.getValue("literals").filterNot { it in literals })
    }

    private fun openClassFile(type: JavaClass): InputStream =
        type.source.orElseThrow().uri.toURL().openStream()

    private fun descriptors(): List<SerialDescriptor> =
        classes.filter { it.isAnnotatedWith(Serializable::class.java) }.mapNotNull(::descriptor)

    /**
     * The descriptor of a serialized class, or null if it has no companion; type parameters are
     * taken to be strings.
     */
    private fun descriptor(type: JavaClass): SerialDescriptor? {
        val companion =
            type.reflect().declaredFields.firstOrNull { it.name == "Companion" } ?: return null
        companion.isAccessible = true
        val factory = companion.type.declaredMethods.first { it.name == "serializer" }
        factory.isAccessible = true
        val parameters = Array<Any>(factory.parameterCount) { String.serializer() }
        return (factory.invoke(companion.get(null), *parameters) as KSerializer<*>).descriptor
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun fields(descriptor: SerialDescriptor): String? {
        if (descriptor.isInline || descriptor.kind != StructureKind.CLASS) return null
        return List(descriptor.elementsCount) {
                descriptor.getElementName(it) + if (descriptor.isElementOptional(it)) "?" else ""
            }
            .joinToString(" ")
    }

    private fun enums(): List<SerialDescriptor> {
        val seen = LinkedHashMap<String, SerialDescriptor>()
        for (descriptor in descriptors()) collect(descriptor, seen)
        // JsonNull is described as an enum without values.
        return seen.values.filter { it.kind == SerialKind.ENUM && it.elementsCount > 0 }
    }

    private fun collect(descriptor: SerialDescriptor, seen: MutableMap<String, SerialDescriptor>) {
        val isList = descriptor.kind == StructureKind.LIST || descriptor.kind == StructureKind.MAP
        if (!isList && seen.put(descriptor.serialName.removeSuffix("?"), descriptor) != null) return
        if (descriptor.kind is SerialKind.ENUM) return
        for (i in 0 until descriptor.elementsCount) collect(
            descriptor.getElementDescriptor(i),
            seen,
        )
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun elementNames(descriptor: SerialDescriptor): String =
        List(descriptor.elementsCount) { descriptor.getElementName(it) }.joinToString(" ")

    private fun stringConstants(): Set<String> =
        classes
            // The reasons are listed in the section of literals, because some contain a space.
            .filterNot { it.isEquivalentTo(DecommissionReason::class.java) }
            .flatMap { it.reflect().declaredFields.toList() }
            .filter { Modifier.isStatic(it.modifiers) && Modifier.isFinal(it.modifiers) }
            .filter { it.type == String::class.java }
            .mapNotNullTo(HashSet()) {
                it.isAccessible = true
                it.get(null) as String?
            }
            .filterTo(HashSet()) { it.isNotEmpty() && ' ' !in it }

    private fun options(command: CommandSpec): List<String> {
        val path = command.qualifiedName()
        val own = command.options().flatMap { it.names().toList() }.map { "$path $it" }
        val parameters = command.positionalParameters().map { "$path ${it.paramLabel()}" }
        val ofSubcommands = command.subcommands().values.flatMap { options(it.commandSpec) }
        return listOf(path) + own + parameters + ofSubcommands
    }

    private companion object {
        const val LIST_FILE = "src/test/resources/external-names.txt"
    }
}

/**
 * Reads the list of names by section. A line `[section]` starts a section, each further line is an
 * entry, and `#` starts a comment.
 */
private object ExternalNames {
    fun read(file: File): Map<String, List<String>> {
        val sections = LinkedHashMap<String, MutableList<String>>()
        var entries = ArrayList<String>()
        for (line in file.readLines()) {
            if (line.isBlank() || line.startsWith("#")) continue
            if (line.startsWith("[")) {
                entries = ArrayList()
                sections[line.trim('[', ']')] = entries
            } else {
                entries += line
            }
        }
        return sections
    }
}

/**
 * Reads the string constants of a class file (JVM specification, 4.4); `{}` stands for what string
 * templates insert.
 */
private object ClassFileStrings {
    private const val HEADER_BYTES = 8
    private const val TAG_UTF8 = 1
    private const val TAG_STRING = 8
    private val TAGS_OF_TWO_BYTES = setOf(7, 16, 19, 20)
    private val TAGS_OF_FOUR_BYTES = setOf(3, 4, 9, 10, 11, 12, 17, 18)
    private val TAGS_OF_EIGHT_BYTES = setOf(5, 6)

    fun read(stream: InputStream): List<String> =
        DataInputStream(stream.buffered()).use { input ->
            input.skipBytes(HEADER_BYTES)
            val texts = HashMap<Int, String>()
            val strings = ArrayList<Int>()
            val count = input.readUnsignedShort()
            var index = 1
            while (index < count) {
                val tag = input.readUnsignedByte()
                when (tag) {
                    TAG_UTF8 -> texts[index] = input.readUTF()
                    TAG_STRING -> strings += input.readUnsignedShort()
                    in TAGS_OF_TWO_BYTES -> input.skipBytes(2)
                    in TAGS_OF_FOUR_BYTES -> input.skipBytes(4)
                    in TAGS_OF_EIGHT_BYTES -> input.skipBytes(8)
                    else -> input.skipBytes(3)
                }
                index += if (tag in TAGS_OF_EIGHT_BYTES) 2 else 1
            }
            strings.mapNotNull { texts[it]?.replace("\u0001", "{}") }
        }
}
