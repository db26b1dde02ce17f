package wardmux.election

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the leader key holds: the member that leads, and which of its processes it is. */
@Serializable
data class LeaderRecord(
    @SerialName("member") val member: String,
    @SerialName("boot") val processIncarnation: String,
)
