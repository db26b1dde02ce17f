package wardmux.app

import kotlin.test.assertNotNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Files that one [version] of wardmux, named by its commit, wrote when it serialized
 * [FormatContents] or [FormatAdditions]. The files are never regenerated with a later version,
 * because they show what that version writes.
 */
class FormatSamples(private val version: String) {
    /** The stored values by their keys in the key-value store. */
    val stored: JsonObject = Json.parseToJsonElement(text("stored")).jsonObject

    /** The serialized messages between controllers by their names in the sample. */
    val messages: Map<String, ByteArray> =
        Json.parseToJsonElement(text("messages")).jsonObject.mapValues {
            it.value.jsonPrimitive.content.hexToByteArray()
        }

    /** The whole text of the file [name] of this version. */
    fun text(name: String): String {
        val path = "/formats/$version/$name.json"
        return assertNotNull(javaClass.getResource(path), path).readText()
    }

    companion object {
        /** The version that `production` in `deploy/service.toml` names. */
        const val PRODUCTION = "d663ca5"

        /** The version merged after [PRODUCTION], which some machines may run at the same time. */
        const val PRODUCTION_SUCCESSOR = "b524460"

        /** The version whose samples hold [FormatAdditions] instead of [FormatContents]. */
        const val ADDITIONS = "ab20a17"

        /**
         * True for batches and responses exchanged through the key-value store, which are
         * compressed.
         */
        fun isPacked(key: String) = key.startsWith("r/") || key.startsWith("a/")
    }
}
