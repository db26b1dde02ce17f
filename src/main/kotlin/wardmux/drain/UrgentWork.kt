package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Detects urgent jobs that wait for capacity which machines of a drain could provide. These jobs
 * take precedence over the drain.
 */
class UrgentWork(private val context: CoreContext, private val cluster: ClusterState) {
    /** True if an urgent job is waiting that could run on one of [machines]. */
    fun isWaitingFor(machines: List<Machine>): Boolean = firstWaitingJob(machines) != null

    /**
     * The urgent job to which a drain must leave [machines], as shown to operators; null if there
     * is none.
     */
    fun reasonToYield(machines: List<Machine>): String? =
        firstWaitingJob(machines)?.let {
            "urgent job ${it.id} of ${it.spec.team}, which takes precedence over the drain"
        }

    private fun firstWaitingJob(machines: List<Machine>): Job? =
        cluster.jobs.values.firstOrNull { job ->
            val blockedSince = job.blockedSince
            job.spec.priority <= PriorityClass.HIGH &&
                job.waiting > 0 &&
                !job.isFailing &&
                blockedSince != null &&
                context.now - blockedSince > MIN_URGENT_WAIT &&
                machines.any { couldTake(it, job) }
        }

    private fun couldTake(machine: Machine, job: Job): Boolean {
        val spec = job.spec
        return !machine.isDecommissioned &&
            machine.type.allowedFor(spec) &&
            (spec.spot || !machine.spot) &&
            (spec.zone == null || spec.zone == machine.zone)
    }

    private companion object {
        /** How long a job must have been blocked before drains yield to it. */
        val MIN_URGENT_WAIT = 1.seconds
    }
}
