package wardmux.serialization

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** The number of bytes of a character that is escaped as `\uXXXX`. */
private const val ESCAPED_CHARACTER_BYTES = 6

/**
 * The maximum number of bytes that [data] occupies in the key-value store, which may escape
 * characters that are not ASCII.
 */
fun jsonBytes(data: JsonElement): Int =
    data.toString().sumOf { if (it < '\u0080') 1 else ESCAPED_CHARACTER_BYTES }

/**
 * The JSON format of all interfaces. Unknown fields are ignored, as the protocol requires, and
 * fields that are null are omitted.
 */
val lenientJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}
