package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt

/**
 * Tasks of cancelled jobs that may be on [machine]. A controller that renews the lease of the
 * machine has to stop all of them in the same response.
 */
@Serializable
class CancelledTasks(
    @SerialName("machine") val machine: String,
    @SerialName("tasks") val tasks: List<TaskAttempt>,
)

/** The cancellations that a controller knows when it answers a worker's heartbeat. */
interface CancellationView {
    /** The fencing token under which a controller renews leases based on this view. */
    val token: FencingToken

    /** The time, exclusive, until which the view is recent enough to renew a lease. */
    val usableUntil: Micros

    /**
     * The number of cancellations learned so far. An unchanged number means that none was added.
     */
    val cancellationCount: Long

    /** Whether a user may have been told that [job] is cancelled. */
    fun isCancelled(job: JobId): Boolean

    /**
     * Task attempts of cancelled jobs that may be on [machine] and are close to the deadline of
     * their cancellation. Only a response that stops all of them may renew the machine's lease.
     */
    fun tasksToStop(machine: MachineId): List<TaskAttempt>
}
