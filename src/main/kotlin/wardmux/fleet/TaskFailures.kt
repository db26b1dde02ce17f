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
    private val decommissioner: MachineDecommissioner,
) {
    private val log = logger<TaskFailures>()

    /** A task of [job] completed on [machine]: neither is at fault. */
    fun recordCompletion(machine: Machine, job: Job) {
        machine.failures.clear()
        job.failedMachines.clear()
    }

    /**
     * [placement] is on [machine]. A replica of a service never completes. One that has run for
     * long elsewhere shows that its service is not at fault: otherwise two faulty machines would
     * keep its other replicas from being started for ever.
     */
    fun observeRunning(machine: Machine, placement: Placement) {
        val job = placement.job
        val since = placement.runningSince ?: return
        if (job.failedMachines.isEmpty() || job.spec.kind != JobKind.SERVICE) return
        val showsHealthyService =
            machine.id !in job.failedMachines && context.now - since >= MIN_HEALTHY_RUN_TIME
        if (showsHealthyService && placement.status == TaskStatus.RUNNING)
            job.failedMachines.clear()
    }

    /**
     * A task of [job] failed on [machine]; other jobs and other machines tell which is at fault.
     */
    fun recordFailure(machine: Machine, job: Job) {
        machine.failures.merge(job.id.value, 1, Int::plus)
        job.failedMachines.add(machine.id)
        machine.pausedUntil = context.now + FAILURE_PAUSE
        val failureCount = machine.failures.values.sum()
        log.info("a task of {} failed on {}, {} in a row there", job.id, machine.id, failureCount)
        if (job.isFailing) {
            val backoffPauses = job.failedMachines.size.coerceAtMost(MAX_BACKOFF_PAUSES).toDouble()
            job.backoffUntil = context.wallTime + FAILURE_PAUSE * backoffPauses
        }
        val isMachineFaulty = !job.isFailing && failureCount >= FAULTY_MACHINE_FAILURES
        if (machine.failures.size >= 2 || isMachineFaulty) {
            decommissioner.decommission(machine, DecommissionReason.TASKS_FAIL)
        }
    }

    private companion object {
        val FAILURE_PAUSE = 8.seconds

        /** The backoff of a job at fault grows with the machines that it failed on, up to this. */
        const val MAX_BACKOFF_PAUSES = 12
        const val FAULTY_MACHINE_FAILURES = 3

        /** A replica that has run for this long does not fail for its job's mistake. */
        val MIN_HEALTHY_RUN_TIME = 30.seconds
    }
}
