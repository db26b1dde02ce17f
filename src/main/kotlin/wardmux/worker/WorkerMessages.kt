package wardmux.worker

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.TaskAttempt
import wardmux.model.TaskEndCause
import wardmux.model.TaskStatus
import wardmux.serialization.lenientJson

/** One task in a worker's heartbeat. */
@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("status") val statusName: String,
    @SerialName("cause") val causeName: String? = null,
    @SerialName("kept") val kept: Boolean = false,
) {
    /** The task and the attempt at it. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    /** A status that this version does not know is taken for one in which the task runs. */
    val status: TaskStatus
        get() =
            when (statusName) {
                "fetching" -> TaskStatus.FETCHING
                "gathering" -> TaskStatus.GATHERING
                "saving" -> TaskStatus.SAVING
                "ended" -> TaskStatus.ENDED
                else -> TaskStatus.RUNNING
            }

    /** Why it ended; of no meaning before [status] says that it did. */
    val cause: TaskEndCause
        get() = TaskEndCause.of(causeName)
}

/** What a worker says of its machine, several times in a lease. */
@Serializable
data class WorkerHeartbeat(
    @SerialName("box") val machine: String,
    /** Host and port at which the worker takes direct commands. */
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    /** Grows with each start of the worker. */
    @SerialName("shift") val incarnation: Long,
    /** Grows with each heartbeat of one incarnation. */
    @SerialName("tick") val tick: Long,
    /** The largest fencing token that the worker has adopted, or 0. */
    @SerialName("baton") val token: Long = 0,
    /** Seconds until the provider preempts the machine, once it has given notice. */
    @SerialName("recall_s") val preemptedInS: Double? = null,
    @SerialName("pieces") val tasks: List<ReportedTask> = emptyList(),
) {
    /** Whether [attempt] is on the machine, in whatever status. */
    fun lists(attempt: TaskAttempt): Boolean =
        tasks.any { it.task == attempt.task && it.attempt == attempt.attempt }

    companion object {
        /** The heartbeat in [body], or null if there is none. */
        fun parse(body: ByteArray): WorkerHeartbeat? =
            try {
                lenientJson.decodeFromString(serializer(), body.decodeToString())
            } catch (e: IllegalArgumentException) {
                // SerializationException is one too.
                null
            }
    }
}

/** What a worker can be told to do with a task. */
enum class WorkerCommandType(val wireName: String) {
    START("start"),
    STOP("halt"),

    /** Removes what is kept of a task that ended. */
    FORGET("forget"),
}

/** Tells a worker to do something with one attempt at a task. */
@Serializable
data class WorkerCommand(
    /** The [WorkerCommandType]; others pass through a forwarder of an older version unchanged. */
    @SerialName("verb") val typeName: String,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    /** For how long, in seconds, a task that is stopped may save its state. */
    @SerialName("letgo_s") val gracePeriodS: Double? = null,
) {
    /** The task and the attempt at it. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    /** Whether it stops the task. */
    val isStop: Boolean
        get() = typeName == WorkerCommandType.STOP.wireName

    companion object {
        /** Starts an attempt. */
        fun start(task: String, attempt: Int) =
            WorkerCommand(WorkerCommandType.START.wireName, task, attempt)

        /** Stops an attempt, which may take [gracePeriodS] seconds to save its state. */
        fun stop(task: String, attempt: Int, gracePeriodS: Double) =
            WorkerCommand(WorkerCommandType.STOP.wireName, task, attempt, gracePeriodS)

        /** Removes what is kept of an attempt that ended. */
        fun forget(task: String, attempt: Int) =
            WorkerCommand(WorkerCommandType.FORGET.wireName, task, attempt)
    }
}

/** Commands sent to the worker itself, rather than in the response to its heartbeat. */
@Serializable
data class DirectCommands(
    @SerialName("baton") val token: Long,
    /** A worker of any other incarnation refuses them. */
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<WorkerCommand>,
) {
    /** The body of a request to a worker. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}

/** Sends a worker to another controller. */
@Serializable
data class Redirect(@SerialName("steward") val controller: String) {
    /** The body of a response to a heartbeat. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}
