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

/**
 * Decides which running tasks may be stopped for which blocked job, and estimates the loss of a
 * stop.
 */
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

    /**
     * How long [job] has to be blocked before tasks are stopped for it. A service does not wait,
     * because each waiting replica is a replica that is down. Other jobs wait first, as room may
     * come free by itself.
     */
    private fun preemptionDelay(job: Job): Micros =
        if (job.spec.kind == JobKind.SERVICE) Micros.ZERO else operators.preemptAfterS.seconds

    /** True if [victim] may be stopped for [job]. */
    fun mayStop(job: Job, victim: Placement): Boolean {
        val otherSpec = victim.job.spec
        return when {
            // Stopping one task of a gang stops all of them.
            otherSpec.isGang -> false
            otherSpec.priority > job.spec.priority -> true
            else -> mayReclaimFrom(job, otherSpec)
        }
    }

    /**
     * True if [job] may reclaim its team's guaranteed share from a task like [otherSpec]. Only
     * tasks that can write a checkpoint are stopped for this, as they keep their progress. Work of
     * a higher priority is never stopped: otherwise two teams below their shares would stop each
     * other's tasks without end.
     */
    private fun mayReclaimFrom(job: Job, otherSpec: JobSpec): Boolean {
        if (otherSpec.team == job.spec.team || otherSpec.priority < job.spec.priority) return false
        if (!otherSpec.isCheckpointable || !mayReclaim(job)) return false
        // If the other team has the lower start tag, it would get the freed room itself.
        if (cluster.queue.startTag(job.spec.team) > cluster.queue.startTag(otherSpec.team))
            return false
        val otherQuota = cluster.teams[otherSpec.team] ?: return false
        return cluster.usedCpus(otherSpec.team) - otherSpec.cpus >= otherQuota.cpus
    }

    /**
     * True if the team of [job] is below its guaranteed share and the job has been blocked for long
     * enough. After each reclaim the job waits for the same time again, so that the room can come
     * free first.
     */
    fun mayReclaim(job: Job): Boolean {
        val minWait = operators.reclaimAfterS.seconds
        val quota = cluster.teams[job.spec.team] ?: return false
        if (cluster.usedCpus(quota.name) + job.spec.cpus > quota.cpus) return false
        return blockedTime(job) >= minWait && context.now - job.lastReclaimAt >= minWait
    }

    private fun blockedTime(job: Job): Micros =
        job.blockedSince?.let { context.now - it } ?: Micros.ZERO

    /**
     * True if [victim] would not end soon by itself and stopping it does not discard an image
     * fetch.
     */
    fun isWorthStopping(victim: Placement): Boolean =
        !isOnlyTaskFetchingImage(victim) && remainingRunTime(victim) >= MIN_REMAINING_RUN_TIME

    /**
     * True if [victim] is the only task on its machine that waits for its image, so that stopping
     * it would discard the fetch.
     */
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

    /**
     * The CPU-seconds that stopping [victim] loses: the time to write a checkpoint or, without one,
     * the progress since the start; plus the overhead of a restart. Zero if the task does not run
     * yet.
     */
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
