package wardmux.scheduling

import wardmux.config.WorkerTiming
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Stops tasks so that what can be saved is saved. The halts go out with the next commands. */
class TaskEvictor(private val cluster: ClusterState, private val workers: WorkerTiming) {
    private val log = logger<TaskEvictor>()

    /** Of a gang all are stopped: those not told in time spoil what the others save. */
    fun evict(victim: Placement, reason: String) {
        if (victim.job.spec.isGang) return evictGang(victim.job, reason)
        val spec = victim.job.spec
        val save = spec.isCheckpointable && victim.status == TaskStatus.RUNNING
        requestStop(victim, if (save) (spec.saveS + SAVE_MARGIN_S).seconds else Micros.ZERO)
        log.info("stopping {} on {}: {}", victim.task, victim.machine, reason)
    }

    private fun evictGang(job: Job, reason: String) {
        val spec = job.spec
        val save =
            spec.isCheckpointable && job.placements.values.all { it.status == TaskStatus.RUNNING }
        if (!save) cluster.abortGangAttempt(job)
        else {
            val within = (spec.saveS + SAVE_MARGIN_S + workers.gangPeerS).seconds
            for (placement in job.placements.values) requestStop(placement, within)
        }
        log.info("stopping all {} tasks of {}: {}", job.placements.size, job.id, reason)
    }

    private fun requestStop(victim: Placement, within: Micros) {
        victim.gracePeriod = within
        victim.stopSent = false
        cluster.machines[victim.machine]?.let { cluster.machinesWithCommands.add(it) }
    }

    private companion object {
        const val SAVE_MARGIN_S = 1.0
    }
}
