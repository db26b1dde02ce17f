package wardmux.serialization

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** A character as `\uXXXX`. */
private const val ESCAPED_CHARACTER_BYTES = 6

/** The most bytes that [data] takes in the key-value store, which may escape what is not ASCII. */
fun jsonBytes(data: JsonElement): Int =
    data.toString().sumOf { if (it < '\u0080') 1 else ESCAPED_CHARACTER_BYTES }

/** JSON of all interfaces: unknown fields are ignored, as PROTOCOL asks, and nulls left out. */
val lenientJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}
