package wardmux.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.JobProgress
import wardmux.serialization.CborFormat

/** What a controller tells each of its peers about once a second. */
@Serializable
data class PeerHeartbeat(
    @SerialName("member") val member: String,
    /** The leader's fencing token; null from all others. */
    @SerialName("token") val token: Long? = null,
    /** How long ago the key-value store last answered the sender, in microseconds. */
    @SerialName("stateSilence") val timeSinceStoreResponse: Long = 0,
    /** The leader's counts of tasks; empty from all others. */
    @SerialName("progress") val progress: List<JobProgress> = emptyList(),
    /** The leader wants its followers to answer workers too. */
    @SerialName("wantsRelays") val forwardingEnabled: Boolean = false,
    /** How many of the cancellations that its peers acknowledged the sender knows. */
    @SerialName("heard") val cancellationCursors: List<CancellationCursor> = emptyList(),
)

/** Peer heartbeats and their answers as bytes. */
object PeerHeartbeatCodec {
    /** Encodes a heartbeat. */
    fun encode(heartbeat: PeerHeartbeat): ByteArray =
        CborFormat.encode(PeerHeartbeat.serializer(), heartbeat)

    /** Decodes a heartbeat; null if [bytes] hold none. */
    fun decode(bytes: ByteArray): PeerHeartbeat? =
        CborFormat.decode(PeerHeartbeat.serializer(), bytes)

    /** Encodes the answer to a heartbeat. */
    fun encode(update: CancellationUpdate): ByteArray =
        CborFormat.encode(CancellationUpdate.serializer(), update)

    /** Decodes the answer to a heartbeat; null if [bytes] hold none. */
    fun decodeUpdate(bytes: ByteArray): CancellationUpdate? =
        CborFormat.decode(CancellationUpdate.serializer(), bytes)
}
