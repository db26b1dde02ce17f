package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the tasks of a job are to each other. */
@Serializable
enum class JobKind {
    /** Independent tasks that each run to completion. */
    @SerialName("batch") ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon") SERVICE,

    /** Tasks that all run at the same time, and complete together. */
    @SerialName("group") GANG,
}

/** Priority classes, the highest first. */
@Serializable
enum class PriorityClass {
    @SerialName("prod") PROD,
    @SerialName("high") HIGH,
    @SerialName("normal") NORMAL,
    @SerialName("idle") IDLE,
}
