package wardmux.forwarding

import wardmux.lease.CancellationView
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt
import wardmux.peers.CancellationTracker

/** What a follower knows of cancelled tasks while the grant in a leader's [response] is valid. */
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
