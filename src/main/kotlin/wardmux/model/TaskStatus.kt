package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class TaskStatus {
    @SerialName("fetching") FETCHING,

    /** Has its image and waits for the rest of its gang. */
    @SerialName("gathering") GATHERING,
    @SerialName("running") RUNNING,
    @SerialName("saving") SAVING,
    @SerialName("ended") ENDED,
}
