package wardmux.peers

import kotlinx.serialization.Serializable

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
    /** Of what the others told users to be cancelled, how much is known here. */
    val heard: List<Heard> = emptyList(),
)

object BeatCodec {
    fun encode(beat: Beat): ByteArray = PeerCodec.encode(Beat.serializer(), beat)

    fun decode(bytes: ByteArray): Beat? = PeerCodec.decode(Beat.serializer(), bytes)

    fun encode(told: Told): ByteArray = PeerCodec.encode(Told.serializer(), told)

    fun told(bytes: ByteArray): Told? = PeerCodec.decode(Told.serializer(), bytes)
}
