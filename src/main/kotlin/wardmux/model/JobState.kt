package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of a job in its record, which is also what its user is told. */
@Serializable
enum class JobState {
    @SerialName("queued") ACCEPTED,
    @SerialName("cancelled") CANCELLED,
    @SerialName("done") DONE,
}
