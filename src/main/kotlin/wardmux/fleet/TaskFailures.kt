package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Tells machines on which tasks fail from jobs whose tasks fail anywhere. */
class TaskFailures(
    private val context: CoreContext,
    private val decommission: (Machine, String) -> Unit,
) {
    private val log = logger<TaskFailures>()

    /** A task of [job] completed on [machine]: neither is at fault. */
    fun completed(machine: Machine, job: Job) {
        machine.failures.clear()
        job.failedMachines.clear()
    }

    /**
     * A replica never completes. One that has run for long elsewhere shows that its service is not
     * at fault: otherwise two faulty machines would keep its others from being started for ever.
     */
    fun runs(machine: Machine, placement: Placement) {
        val job = placement.job
        val since = placement.runningSince ?: return
        if (job.failedMachines.isEmpty() || job.spec.shape != JobKind.SERVICE) return
        val isProof = machine.id !in job.failedMachines && context.now - since >= PROVEN_RUN
        if (isProof && placement.status == TaskStatus.RUNNING) job.failedMachines.clear()
    }

    /** Either the machine or the job is at fault; other jobs and other machines tell which. */
    fun failed(machine: Machine, job: Job) {
        machine.failures.merge(job.id.value, 1, Int::plus)
        job.failedMachines.add(machine.id)
        machine.pausedUntil = context.now + FAILED_PAUSE
        val own = machine.failures.values.sum()
        log.info("a task of {} failed on {}, {} in a row there", job.id, machine.id, own)
        if (job.isFailing) {
            val pause = FAILED_PAUSE * job.failedMachines.size.coerceAtMost(MOST_PAUSES).toDouble()
            job.backoffUntil = context.wallTime + pause
        }
        val blameless = !job.isFailing && own >= SICK_FAILURES
        if (machine.failures.size >= 2 || blameless) decommission(machine, "tasks fail on it")
    }

    private companion object {
        val FAILED_PAUSE = 8.seconds

        /** Pauses of a job at fault grow with the machines that it failed on, up to this many. */
        const val MOST_PAUSES = 12
        const val SICK_FAILURES = 3

        /** A replica that has run for this long does not fail for its job's mistake. */
        val PROVEN_RUN = 30.seconds
    }
}
