package wardmux.election

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The value of the leader key: the member that leads, and the process of it that leads. */
@Serializable
data class LeaderRecord(
    @SerialName("member") val member: String,
    @SerialName("boot") val processIncarnation: String,
)
