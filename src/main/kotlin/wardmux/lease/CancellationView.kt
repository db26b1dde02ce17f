package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt

/** Tasks of cancelled jobs that may be on [machine]: whoever renews its lease stops them all. */
@Serializable
class CancelledTasks(
    @SerialName("machine") val machine: String,
    @SerialName("tasks") val tasks: List<TaskAttempt>,
)

/** The cancellations that a controller knows of when it answers a worker's heartbeat. */
interface CancellationView {
    /** The fencing token under which leases are renewed by this view. */
    val token: FencingToken

    /** The time, exclusive, up to which the view is recent enough to renew a lease. */
    val usableUntil: Micros

    /** The number of cancellations learned so far; as long as it stays, none has been added. */
    val cancellationCount: Long

    /** Whether a user may have been told that [job] is cancelled. */
    fun isCancelled(job: JobId): Boolean

    /**
     * Attempts of cancelled jobs that may be on [machine] and are so near their deadline that its
     * lease is renewed only by a response that stops them all.
     */
    fun tasksToStop(machine: MachineId): List<TaskAttempt>
}
