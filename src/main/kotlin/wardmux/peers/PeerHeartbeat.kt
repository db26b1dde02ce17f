package wardmux.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.JobProgress
import wardmux.serialization.CborFormat

/** A controller's word to its siblings, about once a second. */
@Serializable
data class PeerHeartbeat(
    @SerialName("member") val member: String,
    /** The leader's token; null from all others. */
    @SerialName("token") val token: Long? = null,
    /** How long ago the state service last answered it, in microseconds. */
    @SerialName("stateSilence") val storeSilence: Long = 0,
    @SerialName("progress") val progress: List<JobProgress> = emptyList(),
    /** The leader wants the others to take workers' reports too. */
    @SerialName("wantsRelays") val forwardingEnabled: Boolean = false,
    /** Of what the others told users to be cancelled, how much is known here. */
    @SerialName("heard") val cancellationCursors: List<CancellationCursor> = emptyList(),
)

/** Heartbeats and their answers as bytes. */
object PeerHeartbeatCodec {
    /** A heartbeat as it is sent. */
    fun encode(heartbeat: PeerHeartbeat): ByteArray =
        CborFormat.encode(PeerHeartbeat.serializer(), heartbeat)

    /** The heartbeat in [bytes], or null if they hold none. */
    fun decode(bytes: ByteArray): PeerHeartbeat? =
        CborFormat.decode(PeerHeartbeat.serializer(), bytes)

    /** The answer to a heartbeat as it is sent. */
    fun encode(told: CancellationUpdate): ByteArray =
        CborFormat.encode(CancellationUpdate.serializer(), told)

    /** The answer in [bytes], or null if they hold none. */
    fun decodeUpdate(bytes: ByteArray): CancellationUpdate? =
        CborFormat.decode(CancellationUpdate.serializer(), bytes)
}
