package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The progress of a job, for display: how many of its tasks are done and are running. */
@Serializable
data class JobProgress(
    @SerialName("job") val job: String,
    @SerialName("done") val done: Int,
    @SerialName("running") val running: Int,
)
