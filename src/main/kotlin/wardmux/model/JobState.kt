package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of a job in its record, which is also the state reported to users. */
@Serializable
enum class JobState {
    @SerialName("queued") ACCEPTED,
    @SerialName("cancelled") CANCELLED,
    @SerialName("done") DONE,
}
