package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the tasks of a job relate to each other. */
@Serializable
enum class JobKind {
    /** Independent tasks, each of which runs to completion. */
    @SerialName("batch") ARRAY,

    /** Replicas that run until the job is cancelled. */
    @SerialName("daemon") SERVICE,

    /** Tasks that have to run at the same time and complete together. */
    @SerialName("group") GANG,
}

/** The priority classes of jobs, from the highest to the lowest. */
@Serializable
enum class PriorityClass {
    @SerialName("prod") PROD,
    @SerialName("high") HIGH,
    @SerialName("normal") NORMAL,
    @SerialName("idle") IDLE,
}
