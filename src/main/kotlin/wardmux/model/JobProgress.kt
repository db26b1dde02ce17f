package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far a job is, for display. */
@Serializable
data class JobProgress(
    @SerialName("job") val job: String,
    @SerialName("done") val done: Int,
    @SerialName("running") val running: Int,
)
