package wardmux.worker

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.Placement
import wardmux.model.TaskAttempt
import wardmux.model.TaskStatus
import wardmux.serialization.lenientJson

@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("status") val statusName: String,
    @SerialName("cause") val cause: String? = null,
    @SerialName("kept") val kept: Boolean = false,
) {
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    /** A state that this version doesn't know is taken for one in which the task runs. */
    val status: TaskStatus
        get() =
            when (statusName) {
                "fetching" -> TaskStatus.FETCHING
                "gathering" -> TaskStatus.GATHERING
                "saving" -> TaskStatus.SAVING
                "ended" -> TaskStatus.ENDED
                else -> TaskStatus.RUNNING
            }
}

@Serializable
data class WorkerHeartbeat(
    @SerialName("box") val machine: String,
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("shift") val incarnation: Long,
    @SerialName("tick") val tick: Long,
    @SerialName("baton") val token: Long = 0,
    @SerialName("recall_s") val recallS: Double? = null,
    @SerialName("pieces") val tasks: List<ReportedTask> = emptyList(),
) {
    /** Whether [attempt] is on the machine, in whatever state. */
    fun shows(attempt: TaskAttempt): Boolean =
        tasks.any { it.task == attempt.task && it.attempt == attempt.attempt }

    companion object {
        /** Null if it is no report. */
        fun parse(body: ByteArray): WorkerHeartbeat? =
            try {
                lenientJson.decodeFromString(serializer(), body.decodeToString())
            } catch (e: IllegalArgumentException) {
                // What can't be decoded is told by a kind of this, too.
                null
            }
    }
}

@Serializable
data class WorkerCommand(
    @SerialName("verb") val verb: String,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("letgo_s") val withinS: Double? = null,
) {
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    companion object {
        const val HALT = "halt"

        fun start(p: Placement) = WorkerCommand("start", p.task.toString(), p.attempt)

        fun halt(task: String, attempt: Int, withinS: Double) =
            WorkerCommand(HALT, task, attempt, withinS)

        fun forget(task: String, attempt: Int) = WorkerCommand("forget", task, attempt)
    }
}

/** Orders sent to the worker itself, outside its reports. */
@Serializable
data class DirectCommands(
    @SerialName("baton") val token: Long,
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val orders: List<WorkerCommand>,
)

@Serializable
data class Redirect(@SerialName("steward") val leader: String) {
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}
