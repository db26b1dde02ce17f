package wardmux.forwarding

import wardmux.lease.CancellationView
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt
import wardmux.peers.CancellationTracker

/**
 * A follower's view of cancelled tasks: the tasks to stop that the leader listed in [response], and
 * the cancelled jobs that the follower knows of. The view is usable until the grant in [response]
 * expires, and not at all if the leader does not allow renewals.
 */
class GrantedCancellationView(
    response: HeartbeatBatchResponse,
    grantValidUntil: Micros,
    private val cancellations: CancellationTracker,
) : CancellationView {
    override val token = FencingToken(response.token)

    private val tasksToStopByMachine: Map<MachineId, List<TaskAttempt>> =
        response.mustHalt.orEmpty().associate { MachineId(it.machine) to it.tasks }

    override val usableUntil: Micros =
        if (response.renewalAllowed) grantValidUntil else Micros.LONG_AGO

    override val cancellationCount: Long
        get() = cancellations.observedCount

    override fun isCancelled(job: JobId): Boolean = job in cancellations

    override fun tasksToStop(machine: MachineId): List<TaskAttempt> =
        tasksToStopByMachine[machine].orEmpty()

    /** Whether a task on [machine] must be stopped before its lease is renewed. */
    fun mustStopTasksOn(machine: MachineId): Boolean = machine in tasksToStopByMachine
}
