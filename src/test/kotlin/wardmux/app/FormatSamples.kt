package wardmux.app

import kotlin.test.assertNotNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * What one version of wardmux, named by its commit, wrote of [FormatContents] or [FormatAdditions]
 * when it was run. The files are fixed: they are never made anew with a later version.
 */
class FormatSamples(private val version: String) {
    /** By key of the state service. */
    val stored: JsonObject = Json.parseToJsonElement(text("stored")).jsonObject

    /** By name of the message. */
    val messages: Map<String, ByteArray> =
        Json.parseToJsonElement(text("messages")).jsonObject.mapValues {
            it.value.jsonPrimitive.content.hexToByteArray()
        }

    /** A whole file, as it is. */
    fun text(name: String): String {
        val path = "/formats/$version/$name.json"
        return assertNotNull(javaClass.getResource(path), path).readText()
    }

    companion object {
        /** That `production` in the deploy file names. */
        const val PRODUCTION = "d663ca5"

        /** The landing after it, which machines may run as well. */
        const val PRODUCTION_SUCCESSOR = "b524460"

        /** The version whose samples hold [FormatAdditions] instead. */
        const val ADDITIONS = "ab20a17"

        /** Batches and answers that go by way of the state service are packed there. */
        fun isPacked(key: String) = key.startsWith("r/") || key.startsWith("a/")
    }
}
