package wardmux.relay

import wardmux.JobId
import wardmux.MachineId
import wardmux.Micros
import wardmux.Token
import wardmux.peers.Cancellations
import wardmux.renewal.CancellationKnowledge
import wardmux.renewal.TaskAttempt

/** What a relay knows of cancelled tasks while a grant of its leader runs. */
class GrantedKnowledge(
    override val token: Token,
    answer: BatchAnswer,
    grantedUntil: Micros,
    private val cancellations: Cancellations,
) : CancellationKnowledge {
    private val mustHalt: Map<MachineId, List<TaskAttempt>> =
        answer.mustHalt.orEmpty().associate { MachineId(it.machine) to it.tasks }

    override val usableUntil: Micros = if (answer.renews) grantedUntil else Micros.LONG_AGO

    override val cancellationsLearned: Long
        get() = cancellations.learned

    override fun isCancelled(job: JobId): Boolean = job in cancellations

    override fun mustHalt(machine: MachineId): List<TaskAttempt> = mustHalt[machine].orEmpty()

    /** Whether something on [machine] has to be halted. */
    fun names(machine: MachineId): Boolean = machine in mustHalt
}
