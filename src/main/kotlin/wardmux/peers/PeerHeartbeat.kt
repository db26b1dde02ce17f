package wardmux.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.JobProgress
import wardmux.serialization.CborFormat

/** The message that a controller sends to each of its peers about once a second. */
@Serializable
data class PeerHeartbeat(
    @SerialName("member") val member: String,
    /** The leader's fencing token, or null if the sender does not lead. */
    @SerialName("token") val token: Long? = null,
    /** The time since the key-value store last answered the sender, in microseconds. */
    @SerialName("stateSilence") val timeSinceStoreResponse: Long = 0,
    /** The leader's task counts for each job, empty if the sender does not lead. */
    @SerialName("progress") val progress: List<JobProgress> = emptyList(),
    /** Whether the leader wants its followers to answer worker heartbeats too. */
    @SerialName("wantsRelays") val forwardingEnabled: Boolean = false,
    /** For each peer, how many of the cancellations that it acknowledged the sender knows. */
    @SerialName("heard") val cancellationCursors: List<CancellationCursor> = emptyList(),
)

/** Encodes and decodes peer heartbeats and the answers to them. */
object PeerHeartbeatCodec {
    /** Encodes a heartbeat. */
    fun encode(heartbeat: PeerHeartbeat): ByteArray =
        CborFormat.encode(PeerHeartbeat.serializer(), heartbeat)

    /** Decodes a heartbeat, or returns null if [bytes] are not a valid one. */
    fun decode(bytes: ByteArray): PeerHeartbeat? =
        CborFormat.decode(PeerHeartbeat.serializer(), bytes)

    /** Encodes the answer to a heartbeat. */
    fun encode(update: CancellationUpdate): ByteArray =
        CborFormat.encode(CancellationUpdate.serializer(), update)

    /** Decodes the answer to a heartbeat, or returns null if [bytes] are not a valid one. */
    fun decodeUpdate(bytes: ByteArray): CancellationUpdate? =
        CborFormat.decode(CancellationUpdate.serializer(), bytes)
}
