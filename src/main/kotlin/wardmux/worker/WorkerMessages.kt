package wardmux.worker

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.TaskAttempt
import wardmux.model.TaskEndCause
import wardmux.model.TaskStatus
import wardmux.serialization.lenientJson

/** One task in a worker's heartbeat, as the worker reports it. */
@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("status") val statusName: String,
    @SerialName("cause") val causeName: String? = null,
    /**
     * Whether the attempt saved its progress before it ended, so that the next attempt resumes from
     * there. Controllers do not use it.
     */
    @SerialName("kept") val kept: Boolean = false,
) {
    /** The task and the attempt at it. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    /** The status of the task. A status name that this version does not know counts as running. */
    val status: TaskStatus
        get() =
            when (statusName) {
                "fetching" -> TaskStatus.FETCHING
                "gathering" -> TaskStatus.GATHERING
                "saving" -> TaskStatus.SAVING
                "ended" -> TaskStatus.ENDED
                else -> TaskStatus.RUNNING
            }

    /** Why the task ended. Meaningful only if [status] is [TaskStatus.ENDED]. */
    val cause: TaskEndCause
        get() = TaskEndCause.of(causeName)
}

/** A worker's report on its machine, sent several times within the duration of a lease. */
@Serializable
data class WorkerHeartbeat(
    @SerialName("box") val machine: String,
    /** Host and port at which the worker takes direct commands. */
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    /** The number of the worker's incarnation, which grows with each start of the worker. */
    @SerialName("shift") val incarnation: Long,
    /** The number of the heartbeat, which grows with each heartbeat of one incarnation. */
    @SerialName("tick") val tick: Long,
    /** The largest fencing token that the worker has adopted, or 0. */
    @SerialName("baton") val token: Long = 0,
    /** Seconds until the provider preempts the machine, or null before it has given notice. */
    @SerialName("recall_s") val preemptedInS: Double? = null,
    @SerialName("pieces") val tasks: List<ReportedTask> = emptyList(),
) {
    /** Whether the heartbeat lists [attempt], in any status. */
    fun lists(attempt: TaskAttempt): Boolean =
        tasks.any { it.task == attempt.task && it.attempt == attempt.attempt }

    companion object {
        /** Returns the heartbeat in [body], or null if [body] is not a valid heartbeat. */
        fun parse(body: ByteArray): WorkerHeartbeat? =
            try {
                lenientJson.decodeFromString(serializer(), body.decodeToString())
            } catch (e: IllegalArgumentException) {
                // SerializationException is a subclass.
                null
            }
    }
}

/** The kinds of command that a worker carries out for a task. */
enum class WorkerCommandType(val wireName: String) {
    START("start"),
    STOP("halt"),

    /** Removes the data that the machine keeps of a task that ended. */
    FORGET("forget"),
}

/** A command to a worker for one attempt at a task. */
@Serializable
data class WorkerCommand(
    /**
     * The [WorkerCommandType.wireName]. It is a string so that a forwarder of an older version
     * passes on types that it does not know unchanged.
     */
    @SerialName("verb") val typeName: String,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    /** How long a task that is stopped may take to save its state, in seconds. */
    @SerialName("letgo_s") val gracePeriodS: Double? = null,
) {
    /** The task and the attempt at it. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(task, attempt)

    /** Whether the command stops the task. */
    val isStop: Boolean
        get() = typeName == WorkerCommandType.STOP.wireName

    companion object {
        /** Returns a command that starts an attempt. */
        fun start(task: String, attempt: Int) =
            WorkerCommand(WorkerCommandType.START.wireName, task, attempt)

        /**
         * Returns a command that stops an attempt, which has [gracePeriodS] seconds to save its
         * state.
         */
        fun stop(task: String, attempt: Int, gracePeriodS: Double) =
            WorkerCommand(WorkerCommandType.STOP.wireName, task, attempt, gracePeriodS)

        /** Returns a command that removes the data kept of an ended attempt. */
        fun forget(task: String, attempt: Int) =
            WorkerCommand(WorkerCommandType.FORGET.wireName, task, attempt)
    }
}

/** Commands sent directly to a worker instead of in the response to its heartbeat. */
@Serializable
data class DirectCommands(
    @SerialName("baton") val token: Long,
    /**
     * The incarnation that the commands are for. A worker of any other incarnation refuses them.
     */
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<WorkerCommand>,
) {
    /** Returns the body of a request to a worker. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}

/** The response to a heartbeat that redirects the worker to the controller named [controller]. */
@Serializable
data class Redirect(@SerialName("steward") val controller: String) {
    /** Returns the body of the response to a heartbeat. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}
