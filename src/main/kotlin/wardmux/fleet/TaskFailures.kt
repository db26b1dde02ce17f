package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds

/**
 * Counts failed tasks by machine and by job, to distinguish faulty machines from jobs whose tasks
 * fail on any machine. Faulty machines are decommissioned, and failing jobs are delayed.
 */
class TaskFailures(
    private val context: CoreContext,
    private val decommissioner: MachineDecommissioner,
) {
    private val log = logger<TaskFailures>()

    /** Records that a task of [job] completed on [machine], so neither of them is faulty. */
    fun recordCompletion(machine: Machine, job: Job) {
        machine.failures.clear()
        job.failedMachines.clear()
    }

    /**
     * Records that [placement] is on [machine]. A replica of a service never completes. Therefore a
     * replica that has run for [MIN_HEALTHY_RUN_TIME], on a machine where no task of the service
     * failed, shows that the service is not faulty. Otherwise failures on two faulty machines would
     * keep the other replicas of the service from ever being started.
     */
    fun recordRunning(machine: Machine, placement: Placement) {
        val job = placement.job
        val since = placement.runningSince ?: return
        if (job.failedMachines.isEmpty() || job.spec.kind != JobKind.SERVICE) return
        val showsHealthyService =
            machine.id !in job.failedMachines && context.now - since >= MIN_HEALTHY_RUN_TIME
        if (showsHealthyService && placement.status == TaskStatus.RUNNING)
            job.failedMachines.clear()
    }

    /**
     * Records that a task of [job] failed on [machine]. Failures of other jobs on the machine, and
     * of the job on other machines, determine whether the machine or the job is faulty.
     */
    fun recordFailure(machine: Machine, job: Job) {
        machine.failures.merge(job.id.value, 1, Int::plus)
        job.failedMachines.add(machine.id)
        machine.pausedUntil = context.now + FAILURE_PAUSE
        val failureCount = machine.failures.values.sum()
        log.info(
            "a task of job {} failed on machine {}; consecutive failures there: {}",
            job.id,
            machine.id,
            failureCount,
        )
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
        /**
         * How long a machine gets no new tasks after a task failed there; also the unit of a
         * failing job's backoff.
         */
        val FAILURE_PAUSE = 8.seconds

        /**
         * The backoff of a failing job is [FAILURE_PAUSE] times the number of machines that it
         * failed on. This is the largest such factor.
         */
        const val MAX_BACKOFF_PAUSES = 12

        /**
         * A machine on which this many tasks in a row failed is faulty, unless their job fails on
         * other machines too.
         */
        const val FAULTY_MACHINE_FAILURES = 3

        /** After a replica has run for this long, its service is not considered faulty. */
        val MIN_HEALTHY_RUN_TIME = 30.seconds
    }
}
