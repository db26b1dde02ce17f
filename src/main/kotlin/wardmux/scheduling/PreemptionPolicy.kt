package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Decides which running tasks may be stopped for which blocked job, and what a stop costs. */
internal class PreemptionPolicy(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val operators: OperatorSettings,
) {
    /** True if [job] has been blocked for long enough to stop tasks for it. */
    fun mayPreempt(job: Job): Boolean {
        val since = job.blockedSince ?: return false
        return job.waiting > 0 && !job.isFailing && context.now - since >= preemptionDelay(job)
    }

    /** A replica that waits is a replica that is down: others only wait to see whether it helps. */
    private fun preemptionDelay(job: Job): Micros =
        if (job.spec.kind == JobKind.SERVICE) Micros.ZERO else operators.preemptAfterS.seconds

    /** True if [victim] may be stopped for [job]. */
    fun mayStop(job: Job, victim: Placement): Boolean {
        val otherSpec = victim.job.spec
        return when {
            // One task of a gang takes the others with it.
            otherSpec.isGang -> false
            otherSpec.priority > job.spec.priority -> true
            else -> mayReclaimFrom(job, otherSpec)
        }
    }

    /**
     * A guaranteed share is reclaimed only from work that keeps what it has done, and never from
     * work of a higher priority: otherwise two teams below their shares stop each other without
     * end.
     */
    private fun mayReclaimFrom(job: Job, otherSpec: JobSpec): Boolean {
        if (otherSpec.team == job.spec.team || otherSpec.priority < job.spec.priority) return false
        if (!otherSpec.isCheckpointable || !mayReclaim(job)) return false
        // Only for the team that the room would go to.
        if (cluster.queue.startTag(job.spec.team) > cluster.queue.startTag(otherSpec.team))
            return false
        val otherQuota = cluster.teams[otherSpec.team] ?: return false
        return cluster.usedCpus(otherSpec.team) - otherSpec.cpus >= otherQuota.cpus
    }

    /**
     * True if the team of [job] is below its guaranteed share and the job has waited for long
     * enough; after each time it waits again, for the room to come.
     */
    fun mayReclaim(job: Job): Boolean {
        val minWait = operators.reclaimAfterS.seconds
        val quota = cluster.teams[job.spec.team] ?: return false
        if (cluster.usedCpus(quota.name) + job.spec.cpus > quota.cpus) return false
        return blockedTime(job) >= minWait && context.now - job.lastReclaimAt >= minWait
    }

    private fun blockedTime(job: Job): Micros =
        job.blockedSince?.let { context.now - it } ?: Micros.ZERO

    /** True if the room of [victim] does not come free soon by itself, nor throws a fetch away. */
    fun isWorthStopping(victim: Placement): Boolean =
        !isOnlyTaskFetchingImage(victim) && remainingRunTime(victim) >= MIN_REMAINING_RUN_TIME

    /** Stopping the last task that waits for an image throws the fetch away. */
    private fun isOnlyTaskFetchingImage(victim: Placement): Boolean {
        if (victim.status != TaskStatus.FETCHING) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return machine.placements.values.none {
            it !== victim && !it.isStopping && it.job.spec.image == victim.job.spec.image
        }
    }

    private fun remainingRunTime(victim: Placement): Micros {
        val expected = cluster.estimates.runTime(victim.job.spec)
        val since = victim.runningSince ?: return expected
        return expected - (context.now - since)
    }

    /** CPU-seconds that stopping [victim] throws away. */
    fun lostCpuSeconds(victim: Placement): Double {
        val spec = victim.job.spec
        val since = victim.runningSince ?: return 0.0
        val lostSeconds = if (spec.isCheckpointable) spec.saveS else (context.now - since).inSeconds
        return (lostSeconds + RESTART_OVERHEAD_S) * spec.cpus
    }

    private companion object {
        const val RESTART_OVERHEAD_S = 3.0
        val MIN_REMAINING_RUN_TIME = 3.seconds
    }
}
