package wardmux.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** How far a job is, for display. */
@Serializable data class Progress(val job: String, val done: Int, val running: Int)

/** A controller's word to its siblings, about once a second. */
@Serializable
data class Beat(
    val member: String,
    /** The leader's token; null from all others. */
    val token: Long? = null,
    /** How long ago the state service last answered it, in microseconds. */
    val stateSilence: Long = 0,
    val progress: List<Progress> = emptyList(),
    /** The leader wants the others to take workers' reports too. */
    val wantsRelays: Boolean = false,
)

@OptIn(ExperimentalSerializationApi::class)
object BeatCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(beat: Beat): ByteArray = cbor.encodeToByteArray(Beat.serializer(), beat)

    /** Null if it is none; on bytes that are no CBOR the decoder fails in more than one way. */
    fun decode(bytes: ByteArray): Beat? =
        try {
            cbor.decodeFromByteArray(Beat.serializer(), bytes)
        } catch (e: RuntimeException) {
            null
        }
}
