package wardmux.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Tells a peer how much the sender knows: of the cancellations that the process
 * [processIncarnation] of [member] acknowledged to users, the sender knows the first [count].
 */
@Serializable
class CancellationCursor(
    @SerialName("member") val member: String,
    @SerialName("boot") val processIncarnation: String,
    @SerialName("count") val count: Long,
)

/** The cancellations that a process acknowledged to users, sent in answer to a peer's heartbeat. */
@Serializable
class CancellationUpdate(
    @SerialName("boot") val processIncarnation: String,
    /**
     * How long the process has run, in microseconds. The update does not cover what former
     * processes of the same member acknowledged.
     */
    @SerialName("up") val uptime: Long,
    /** The index of the first of [jobs] among all cancellations that this process acknowledged. */
    @SerialName("from") val firstIndex: Long,
    @SerialName("jobs") val jobs: List<String> = emptyList(),
    /** Whether there are more cancellations than fit into one answer. */
    @SerialName("more") val hasMore: Boolean = false,
)
