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
        return job.waiting > 0 && !job.isFailing && context.now - since >= patience(job)
    }

    /** A replica that waits is a replica that is down: others only wait to see whether it helps. */
    private fun patience(job: Job): Micros =
        if (job.spec.kind == JobKind.SERVICE) Micros.ZERO else operators.preemptAfterS.seconds

    /** True if [victim] may be stopped for [job]. */
    fun mayStop(job: Job, victim: Placement): Boolean {
        val other = victim.job.spec
        return when {
            // One task of a gang takes the others with it.
            other.isGang -> false
            other.priority > job.spec.priority -> true
            else -> mayReclaimFrom(job, other)
        }
    }

    /**
     * A guaranteed share is reclaimed only from work that keeps what it has done, and never from
     * work of a higher priority: otherwise two teams below their shares stop each other without
     * end.
     */
    private fun mayReclaimFrom(job: Job, other: JobSpec): Boolean {
        if (other.team == job.spec.team || other.priority < job.spec.priority) return false
        if (!other.isCheckpointable || !mayReclaim(job)) return false
        // Only for the team that the room would go to.
        if (cluster.queue.startTag(job.spec.team) > cluster.queue.startTag(other.team)) return false
        val otherQuota = cluster.teams[other.team] ?: return false
        return cluster.usedCpus(other.team) - other.cpus >= otherQuota.cpus
    }

    /**
     * True if the team of [job] is below its guaranteed share and the job has waited for long
     * enough; after each time it waits again, for the room to come.
     */
    fun mayReclaim(job: Job): Boolean {
        val pause = operators.reclaimAfterS.seconds
        val own = cluster.teams[job.spec.team] ?: return false
        if (cluster.usedCpus(own.name) + job.spec.cpus > own.cpus) return false
        return blockedTime(job) >= pause && context.now - job.lastReclaimAt >= pause
    }

    private fun blockedTime(job: Job): Micros =
        job.blockedSince?.let { context.now - it } ?: Micros.ZERO

    /** True if the room of [victim] does not come free soon by itself, nor throws a fetch away. */
    fun isWorthStopping(victim: Placement): Boolean =
        !isOnlyFetcher(victim) && remaining(victim) >= NEARLY_DONE

    /** Stopping the last task that waits for an image throws the fetch away. */
    private fun isOnlyFetcher(victim: Placement): Boolean {
        if (victim.status != TaskStatus.FETCHING) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return machine.placements.values.none {
            it !== victim && !it.isStopping && it.job.spec.image == victim.job.spec.image
        }
    }

    private fun remaining(victim: Placement): Micros {
        val expected = cluster.estimates.runTime(victim.job.spec)
        val since = victim.runningSince ?: return expected
        return expected - (context.now - since)
    }

    /** CPU-seconds that stopping [victim] throws away. */
    fun loss(victim: Placement): Double {
        val spec = victim.job.spec
        val since = victim.runningSince ?: return 0.0
        val lost = if (spec.isCheckpointable) spec.saveS else (context.now - since).inSeconds
        return (lost + RESTART_S) * spec.cpus
    }

    private companion object {
        const val RESTART_S = 3.0
        val NEARLY_DONE = 3.seconds
    }
}
