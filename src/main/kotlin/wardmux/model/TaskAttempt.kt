package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies one attempt of a task by the names that workers use. */
@Serializable
data class TaskAttempt(
    @SerialName("task") val task: String,
    @SerialName("attempt") val attempt: Int,
)
