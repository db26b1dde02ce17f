package wardmux.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How many of the cancellations that the process [processIncarnation] of [member] acknowledged to
 * users are known to the sender.
 */
@Serializable
class CancellationCursor(
    @SerialName("member") val member: String,
    @SerialName("boot") val processIncarnation: String,
    @SerialName("count") val count: Long,
)

/** The cancellations that a process acknowledged to users; its answer to a peer's heartbeat. */
@Serializable
class CancellationUpdate(
    @SerialName("boot") val processIncarnation: String,
    /** How long this process has run, in microseconds: it answers for no former one. */
    @SerialName("up") val uptime: Long,
    /** Which of the cancellations that this process acknowledged is the first of [jobs]. */
    @SerialName("from") val firstIndex: Long,
    @SerialName("jobs") val jobs: List<String> = emptyList(),
    /** There are more than fit into one answer. */
    @SerialName("more") val hasMore: Boolean = false,
)
