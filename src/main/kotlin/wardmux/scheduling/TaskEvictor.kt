package wardmux.scheduling

import wardmux.config.WorkerTiming
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds

/**
 * Stops tasks with a grace period in which they can write a checkpoint. The stop commands are sent
 * with the next commands to the tasks' machines.
 */
class TaskEvictor(private val cluster: ClusterState, private val workers: WorkerTiming) {
    private val log = logger<TaskEvictor>()

    /**
     * Stops [victim] for [reason]. If it belongs to a gang, all tasks of the gang are stopped: a
     * gang can write a checkpoint only if all its tasks get the stop command in time.
     */
    fun evict(victim: Placement, reason: String) {
        if (victim.job.spec.isGang) return evictGang(victim.job, reason)
        val spec = victim.job.spec
        val canSave = spec.isCheckpointable && victim.status == TaskStatus.RUNNING
        requestStop(
            victim,
            if (canSave) (spec.saveS + CHECKPOINT_MARGIN_S).seconds else Micros.ZERO,
        )
        log.info("stopping {} on {}: {}", victim.task, victim.machine, reason)
    }

    private fun evictGang(job: Job, reason: String) {
        val spec = job.spec
        val canSave =
            spec.isCheckpointable && job.placements.values.all { it.status == TaskStatus.RUNNING }
        if (canSave) {
            val gracePeriod = (spec.saveS + CHECKPOINT_MARGIN_S + workers.gangPeerS).seconds
            for (placement in job.placements.values) requestStop(placement, gracePeriod)
        } else {
            cluster.abortGangAttempt(job)
        }
        log.info("stopping all {} tasks of {}: {}", job.placements.size, job.id, reason)
    }

    private fun requestStop(victim: Placement, gracePeriod: Micros) {
        victim.gracePeriod = gracePeriod
        victim.isStopSent = false
        cluster.machines[victim.machine]?.let { cluster.machinesWithCommands.add(it) }
    }

    private companion object {
        /** Added to the time that a task needs to write a checkpoint, in seconds. */
        const val CHECKPOINT_MARGIN_S = 1.0
    }
}
