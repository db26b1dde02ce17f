package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One attempt of a task, as workers name it. */
@Serializable
data class TaskAttempt(
    @SerialName("task") val task: String,
    @SerialName("attempt") val attempt: Int,
)
