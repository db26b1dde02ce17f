package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class JobState {
    @SerialName("queued") ACCEPTED,
    @SerialName("cancelled") CANCELLED,
    @SerialName("done") DONE,
}
