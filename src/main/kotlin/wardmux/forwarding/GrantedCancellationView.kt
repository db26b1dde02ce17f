package wardmux.forwarding

import wardmux.lease.CancellationView
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.TaskAttempt
import wardmux.peers.CancellationTracker

/** What a relay knows of cancelled tasks while a grant of its leader runs. */
class GrantedCancellationView(
    override val token: FencingToken,
    answer: HeartbeatBatchResponse,
    grantedUntil: Micros,
    private val cancellations: CancellationTracker,
) : CancellationView {
    private val mustHalt: Map<MachineId, List<TaskAttempt>> =
        answer.mustHalt.orEmpty().associate { MachineId(it.machine) to it.tasks }

    override val usableUntil: Micros = if (answer.renewalAllowed) grantedUntil else Micros.LONG_AGO

    override val cancellationsLearned: Long
        get() = cancellations.observedCount

    override fun isCancelled(job: JobId): Boolean = job in cancellations

    override fun mustHalt(machine: MachineId): List<TaskAttempt> = mustHalt[machine].orEmpty()

    /** Whether something on [machine] has to be halted. */
    fun names(machine: MachineId): Boolean = machine in mustHalt
}
