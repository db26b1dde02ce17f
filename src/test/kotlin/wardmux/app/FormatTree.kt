package wardmux.app

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Reads and writes serialized values as JSON trees, without the classes that are tested: these
 * would replace a missing field by its default value and so hide that it is missing. A CBOR byte
 * string is represented by a JSON string that starts with [BYTE_STRING_PREFIX].
 */
object FormatTree {
    private const val BYTE_STRING_PREFIX = "bytes:"
    private const val BREAK_BYTE = 0xff

    /** Parses [bytes], which must hold exactly one CBOR item. */
    fun parseCbor(bytes: ByteArray): JsonElement {
        val input = DataInputStream(ByteArrayInputStream(bytes))
        return read(input, input.readUnsignedByte()).also {
            check(input.read() < 0) { "the input continues after the first CBOR item" }
        }
    }

    /** Reads one CBOR item (RFC 8949) whose initial byte has already been read. */
    private fun read(input: DataInputStream, initialByte: Int): JsonElement {
        val additionalInformation = initialByte and 0x1f
        return when (initialByte shr 5) {
            0 -> JsonPrimitive(readArgument(input, additionalInformation))
            1 -> JsonPrimitive(-1 - readArgument(input, additionalInformation))
            2 ->
                JsonPrimitive(
                    BYTE_STRING_PREFIX + readBytes(input, additionalInformation).toHexString()
                )
            3 -> JsonPrimitive(readBytes(input, additionalInformation).decodeToString())
            4 ->
                buildJsonArray {
                    forEachItem(input, additionalInformation) { add(read(input, it)) }
                }
            5 ->
                buildJsonObject {
                    forEachItem(input, additionalInformation) {
                        val key = read(input, it).jsonPrimitive.content
                        val before = put(key, read(input, input.readUnsignedByte()))
                        check(before == null) { "the key $key occurs twice in a CBOR map" }
                    }
                }
            7 ->
                when (additionalInformation) {
                    20 -> JsonPrimitive(false)
                    21 -> JsonPrimitive(true)
                    22 -> JsonNull
                    27 -> JsonPrimitive(input.readDouble())
                    else -> error("unsupported CBOR simple value $additionalInformation")
                }
            else -> error("unsupported CBOR major type in initial byte $initialByte")
        }
    }

    /** Reads the number or length that follows the initial byte. */
    private fun readArgument(input: DataInputStream, additionalInformation: Int): Long =
        when (additionalInformation) {
            in 0..23 -> additionalInformation.toLong()
            24 -> input.readUnsignedByte().toLong()
            25 -> input.readUnsignedShort().toLong()
            26 -> input.readInt().toLong() and 0xffffffffL
            27 -> input.readLong()
            else -> error("unsupported CBOR additional information $additionalInformation")
        }

    private fun readBytes(input: DataInputStream, additionalInformation: Int): ByteArray =
        input.readNBytes(readArgument(input, additionalInformation).toInt())

    /**
     * Calls [entry] with the initial byte of each item of an array, or of each key of a map.
     * Additional information 31 stands for an indefinite length, which a break byte ends.
     */
    private fun forEachItem(
        input: DataInputStream,
        additionalInformation: Int,
        entry: (Int) -> Unit,
    ) {
        if (additionalInformation != 31)
            return repeat(readArgument(input, additionalInformation).toInt()) {
                entry(input.readUnsignedByte())
            }
        while (true) {
            val initialByte = input.readUnsignedByte()
            if (initialByte == BREAK_BYTE) return
            entry(initialByte)
        }
    }

    /** Encodes a tree as CBOR; the reverse of [parseCbor]. */
    fun toCbor(tree: JsonElement): ByteArray {
        val bytes = ByteArrayOutputStream()
        write(DataOutputStream(bytes), tree)
        return bytes.toByteArray()
    }

    private fun write(out: DataOutputStream, tree: JsonElement) {
        when (tree) {
            is JsonObject -> {
                writeHead(out, 5, tree.size.toLong())
                for ((key, value) in tree) {
                    write(out, JsonPrimitive(key))
                    write(out, value)
                }
            }
            is JsonArray -> {
                writeHead(out, 4, tree.size.toLong())
                for (value in tree) write(out, value)
            }
            is JsonNull -> out.writeByte(0xf6)
            is JsonPrimitive -> write(out, tree)
        }
    }

    private fun write(out: DataOutputStream, value: JsonPrimitive) {
        val text = value.content
        val whole = text.toLongOrNull()
        when {
            value.isString && text.startsWith(BYTE_STRING_PREFIX) -> {
                val bytes = text.removePrefix(BYTE_STRING_PREFIX).hexToByteArray()
                writeHead(out, 2, bytes.size.toLong())
                out.write(bytes)
            }
            value.isString -> {
                val bytes = text.encodeToByteArray()
                writeHead(out, 3, bytes.size.toLong())
                out.write(bytes)
            }
            text == "true" || text == "false" -> out.writeByte(if (text == "true") 0xf5 else 0xf4)
            whole != null ->
                if (whole >= 0) writeHead(out, 0, whole) else writeHead(out, 1, -1 - whole)
            else -> {
                out.writeByte(0xfb)
                out.writeDouble(text.toDouble())
            }
        }
    }

    /** Writes the major type with an 8-byte argument. */
    private fun writeHead(out: DataOutputStream, major: Int, number: Long) {
        out.writeByte((major shl 5) or 27)
        out.writeLong(number)
    }

    /** Parses a value that is stored as compressed CBOR in Base64. */
    fun parsePacked(stored: JsonElement): JsonElement = parseCbor(unpacked(stored))

    /** The CBOR bytes of a value that is stored compressed and in Base64. */
    fun unpacked(stored: JsonElement): ByteArray {
        val bytes = Base64.getDecoder().decode(stored.jsonPrimitive.content)
        return InflaterInputStream(ByteArrayInputStream(bytes)).readAllBytes()
    }

    /** The stored form of [tree]; the reverse of [parsePacked]. */
    fun packed(tree: JsonElement): JsonElement {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(toCbor(tree)) }
        return JsonPrimitive(Base64.getEncoder().encodeToString(bytes.toByteArray()))
    }

    /**
     * Describes how [written] differs from [sample]. A field that only [written] has is a
     * difference as well, unless its path is one of [additions].
     */
    fun differences(
        sample: JsonElement,
        written: JsonElement,
        additions: Set<String> = emptySet(),
        path: String = "",
    ): List<String> =
        when {
            sample is JsonObject && written is JsonObject -> {
                val lost = (sample.keys - written.keys).map { "$path.$it is not written" }
                val added =
                    (written.keys - sample.keys)
                        .map { "$path.$it" }
                        .filter { it !in additions }
                        .map { "$it is new" }
                val changed =
                    sample.keys.intersect(written.keys).flatMap {
                        val inner = "$path.$it"
                        differences(sample.getValue(it), written.getValue(it), additions, inner)
                    }
                lost + added + changed
            }
            sample is JsonArray && written is JsonArray && sample.size == written.size ->
                sample.indices.flatMap {
                    differences(sample[it], written[it], additions, "$path[]")
                }
            sample == written -> emptyList()
            else -> listOf("$path: $written instead of $sample")
        }

    /**
     * Adds [UNKNOWN_FIELDS] to each object, as a later version might. Objects that are maps from
     * names to values get none.
     */
    fun withUnknownFields(tree: JsonElement): JsonElement =
        when (tree) {
            is JsonObject ->
                JsonObject(
                    tree.mapValues { (key, value) ->
                        if (key in MAP_FIELDS && value is JsonObject) {
                            JsonObject(value.mapValues { withUnknownFields(it.value) })
                        } else {
                            withUnknownFields(value)
                        }
                    } + UNKNOWN_FIELDS
                )
            is JsonArray -> JsonArray(tree.map { withUnknownFields(it) })
            else -> tree
        }

    /** Fields whose objects are maps from names to values. */
    private val MAP_FIELDS = setOf("teams", "byMember")
    private val UNKNOWN_FIELDS =
        mapOf(
            "later" to JsonPrimitive("x"),
            "laterNumber" to JsonPrimitive(-7),
            "laterNull" to JsonNull,
            "laterTree" to
                JsonObject(mapOf("a" to JsonArray(listOf(JsonPrimitive(1.5), JsonPrimitive(true))))),
        )
}
