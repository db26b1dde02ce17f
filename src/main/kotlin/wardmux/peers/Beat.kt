package wardmux.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** How far a job is, for display. */
@Serializable data class Progress(val job: String, val done: Int, val running: Int)

/** The leader's word to its siblings, about once a second. */
@Serializable
data class Beat(val member: String, val token: Long, val progress: List<Progress> = emptyList())

@OptIn(ExperimentalSerializationApi::class)
object BeatCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(beat: Beat): ByteArray = cbor.encodeToByteArray(Beat.serializer(), beat)

    fun decode(bytes: ByteArray): Beat? =
        try {
            cbor.decodeFromByteArray(Beat.serializer(), bytes)
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }
}
