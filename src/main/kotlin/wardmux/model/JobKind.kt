package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class JobKind {
    @SerialName("batch") ARRAY,
    @SerialName("daemon") SERVICE,

    /** All tasks run at the same time, and need each other. */
    @SerialName("group") GANG,
}

/** From the most to the least urgent. */
@Serializable
enum class PriorityClass {
    @SerialName("prod") PROD,
    @SerialName("high") HIGH,
    @SerialName("normal") NORMAL,
    @SerialName("idle") IDLE,
}
