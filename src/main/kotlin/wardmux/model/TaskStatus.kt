package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The status of a task attempt, as its worker reports it. */
@Serializable
enum class TaskStatus {
    /** Waits for its image. */
    @SerialName("fetching") FETCHING,

    /** Has its image and waits for the rest of its gang. */
    @SerialName("gathering") GATHERING,
    @SerialName("running") RUNNING,

    /** Is being stopped and writes a checkpoint. */
    @SerialName("saving") SAVING,
    @SerialName("ended") ENDED,
}
