package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt

/** Tasks of cancelled jobs that may be on [machine]: whoever renews its lease halts them all. */
@Serializable
class CancelledTasks(
    @SerialName("machine") val machine: String,
    @SerialName("tasks") val tasks: List<TaskAttempt>,
)

/** What a controller knows of cancelled tasks when it answers a machine's report. */
interface CancellationView {
    /** The token under which it may be used. */
    val token: FencingToken

    /** From then on it is too old to renew a lease with. */
    val usableUntil: Micros

    /** Counts the cancellations that were learned: while it stays, none has been added. */
    val cancellationsLearned: Long

    /** Whether a user may have been told that [job] is cancelled. */
    fun isCancelled(job: JobId): Boolean

    /**
     * Attempts of cancelled jobs that may be on [machine] and have so little time left that its
     * lease is renewed only by an answer that halts them all.
     */
    fun mustHalt(machine: MachineId): List<TaskAttempt>
}
