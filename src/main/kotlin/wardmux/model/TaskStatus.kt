package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The status of a task attempt, as its worker reports it. */
@Serializable
enum class TaskStatus {
    /** The attempt waits until the machine has fetched its image. */
    @SerialName("fetching") FETCHING,

    /** The image is on the machine, and the attempt waits for the other tasks of its gang. */
    @SerialName("gathering") GATHERING,
    @SerialName("running") RUNNING,

    /** The attempt is being stopped and writes a checkpoint. */
    @SerialName("saving") SAVING,
    @SerialName("ended") ENDED,
}
