package wardmux.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.Token
import wardmux.renewal.LeaseRenewal
import wardmux.renewal.TaskAttempt
import wardmux.store.lenientJson

@Serializable
enum class TaskStatus {
    @SerialName("fetching") FETCHING,

    /** Has its image and waits for the rest of its gang. */
    @SerialName("gathering") GATHERING,
    @SerialName("running") RUNNING,
    @SerialName("saving") SAVING,
    @SerialName("ended") ENDED,
}

@Serializable
data class ReportedTask(
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("status") val statusName: String,
    @SerialName("cause") val cause: String? = null,
    @SerialName("kept") val kept: Boolean = false,
) {
    val attemptOfTask: TaskAttempt
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
data class Report(
    @SerialName("box") val machine: String,
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("shift") val shift: Long,
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
        fun parse(body: ByteArray): Report? =
            try {
                lenientJson.decodeFromString(serializer(), body.decodeToString())
            } catch (e: IllegalArgumentException) {
                // What can't be decoded is told by a kind of this, too.
                null
            }
    }
}

@Serializable
data class Order(
    @SerialName("verb") val verb: String,
    @SerialName("piece") val task: String,
    @SerialName("try") val attempt: Int,
    @SerialName("letgo_s") val withinS: Double? = null,
) {
    val attemptOfTask: TaskAttempt
        get() = TaskAttempt(task, attempt)

    companion object {
        const val HALT = "halt"

        fun start(p: Placement) = Order("start", p.task.toString(), p.attempt)

        fun halt(task: String, attempt: Int, withinS: Double) = Order(HALT, task, attempt, withinS)

        fun forget(task: String, attempt: Int) = Order("forget", task, attempt)
    }
}

/**
 * The answer to a report. One under a leader's token renews the lease, so it needs the right to.
 */
@Serializable
class ReportResponse
private constructor(
    @SerialName("baton") private val token: Long,
    @SerialName("orders") private val orders: List<Order>,
) {
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** Renews the lease and carries [orders], among them the halts of [renewal]. */
        fun renewing(renewal: LeaseRenewal, orders: List<Order>) =
            ReportResponse(renewal.token.value, orders)

        /** What a renewal without any order says; kept by [LeaseRenewals] for all of them. */
        fun plain(token: Token): ByteArray = ReportResponse(token.value, emptyList()).encode()

        /** Under no leader's token: the worker drops it, and stays with this controller. */
        val DROPPED = ReportResponse(0, emptyList()).encode()
    }
}

/** Orders sent to the worker itself, outside its reports. */
@Serializable
data class DirectOrders(
    @SerialName("baton") val token: Long,
    @SerialName("shift") val shift: Long,
    @SerialName("orders") val orders: List<Order>,
)

@Serializable
data class Redirect(@SerialName("steward") val leader: String) {
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()
}
