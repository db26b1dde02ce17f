package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The numbers of done and of running tasks of a job, for display. */
@Serializable
data class JobProgress(
    @SerialName("job") val job: String,
    @SerialName("done") val done: Int,
    @SerialName("running") val running: Int,
)
