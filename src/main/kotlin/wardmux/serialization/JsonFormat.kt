package wardmux.serialization

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

private const val ESCAPED: Int = 6

/** The most bytes that a value takes, also where the service escapes what is not ASCII. */
fun jsonBytes(data: JsonElement): Int = data.toString().sumOf { if (it < '\u0080') 1 else ESCAPED }

/** Every other interface of the service is lenient in what it takes, as PROTOCOL asks. */
val lenientJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}
