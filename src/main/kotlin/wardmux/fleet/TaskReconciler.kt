package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.Placement
import wardmux.model.TaskEndCause
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.TaskEvictor
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerHeartbeat

/** Updates placements from the tasks that a machine's heartbeat lists. */
class TaskReconciler(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val evictor: TaskEvictor,
    private val failures: TaskFailures,
    private val token: FencingToken,
) {
    private val log = logger<TaskReconciler>()

    /**
     * Updates the placements on [machine] from the status of each task in [heartbeat]. Listed tasks
     * without a placement that have not ended become the machine's orphans.
     */
    fun reconcile(machine: Machine, heartbeat: WorkerHeartbeat) {
        machine.endedAttempts = heartbeat.tasks.count { it.status == TaskStatus.ENDED }
        confirmStarts(machine, heartbeat)
        var orphans: ArrayList<JobSpec>? = null
        for (reported in heartbeat.tasks) {
            val placement = machine.placementOf(reported.task, reported.attempt)
            if (placement != null) {
                placement.lastSeenTick = heartbeat.tick
                if (reported.status == TaskStatus.ENDED) {
                    handleEnd(machine, placement, reported, heartbeat)
                } else handleProgress(machine, placement, reported.status)
                continue
            }
            val task = TaskId.parse(reported.task) ?: continue
            if (reported.status == TaskStatus.ENDED) {
                handleEndWithoutPlacement(task, reported)
            } else {
                val job = cluster.jobs[task.job] ?: continue
                orphans = (orphans ?: ArrayList()).also { it.add(job.spec) }
            }
        }
        cluster.setOrphans(machine, orphans ?: emptyList())
    }

    /**
     * Records that the unanswered starts whose tasks [heartbeat] lists have reached [machine]. Once
     * all have, the machine may get further tasks.
     */
    private fun confirmStarts(machine: Machine, heartbeat: WorkerHeartbeat) {
        if (machine.directStarts.isEmpty) return
        val unansweredSince = machine.directStarts.unansweredSince
        machine.directStarts.recordListed(heartbeat.tasks.map { it.taskAttempt })
        if (unansweredSince == null || machine.hasUnansweredStart) return
        log.info(
            "machine {} lists the tasks of all starts, unanswered since {} s",
            machine.id,
            (context.now - unansweredSince).inSeconds,
        )
        cluster.machinesWithCommands.add(machine)
        cluster.markChanged()
    }

    /**
     * Releases the placements on [machine] that should be absent and that [heartbeat] does not
     * list: those being stopped, those of ended jobs, and those restored from records of an earlier
     * leader.
     *
     * Once the machine has adopted this leader's fencing token, only this leader commands it, and a
     * worker sends the next heartbeat only after the response to the previous one. A task that a
     * later heartbeat does not list is therefore not on the machine, and no command for it is in
     * flight. This holds only for heartbeats that the worker sends on its own; the response to a
     * direct command may have overtaken the response to a heartbeat.
     */
    fun releaseAbsent(machine: Machine, heartbeat: WorkerHeartbeat) {
        if (heartbeat.token != token.value) return
        val absent =
            machine.placements.values.filter {
                val shouldBeAbsent = it.isStopping || it.job.hasEnded || it.isRestored
                shouldBeAbsent &&
                    it.isCommitted &&
                    it.lastSeenTick != heartbeat.tick &&
                    !machine.directStarts.isUnconfirmed(it.taskAttempt)
            }
        for (placement in absent) cluster.release(placement, "not on the machine")
    }

    private fun handleProgress(machine: Machine, placement: Placement, status: TaskStatus) {
        if (status == TaskStatus.RUNNING && placement.runningSince == null) {
            placement.runningSince = context.now
            placement.job.gangAttempt?.hasRun = true
            log.debug("task {} runs on machine {}", placement.task, machine.id)
        }
        placement.status = status
        failures.recordRunning(machine, placement)
        val spec = placement.job.spec
        if (status != TaskStatus.FETCHING)
            machine.images.markReady(spec.image, spec.imageGb, context.now)
        if (machine.preemptionNoticeAt != null && !placement.isStopping && spec.isCheckpointable) {
            evictor.evict(placement, "its machine is preempted by the provider")
        }
    }

    private fun handleEnd(
        machine: Machine,
        placement: Placement,
        reported: ReportedTask,
        heartbeat: WorkerHeartbeat,
    ) {
        val job = placement.job
        val cause = reported.cause
        // A delayed heartbeat from before this leader's term must not release the placement. A
        // completion is final, so it counts under any token.
        if (cause != TaskEndCause.DONE && heartbeat.token != token.value) return
        // If the job is a gang, its other tasks wait or run in vain without this one, so the
        // attempt is aborted.
        if (cause != TaskEndCause.DONE && !job.allTasksDone) cluster.abortGangAttempt(job)
        when (cause) {
            TaskEndCause.DONE -> {
                failures.recordCompletion(machine, job)
                cluster.complete(placement)
            }
            TaskEndCause.ERROR -> {
                cluster.release(placement, "failed")
                failures.recordFailure(machine, job)
            }
            TaskEndCause.STOPPED -> cluster.release(placement, "stopped")
            TaskEndCause.GANG_PEER_ENDED,
            TaskEndCause.GANG_INCOMPLETE -> cluster.release(placement, "its gang is incomplete")
            TaskEndCause.TASK_UNKNOWN,
            TaskEndCause.REFUSED -> handleRefusal(machine, placement, reported)
        }
    }

    private fun handleRefusal(machine: Machine, placement: Placement, reported: ReportedTask) {
        log.info(
            "task {} was refused by machine {}: {}",
            placement.task,
            machine.id,
            reported.causeName,
        )
        cluster.release(placement, "refused")
        machine.pausedUntil = context.now + REFUSAL_PAUSE
        if (reported.cause == TaskEndCause.TASK_UNKNOWN) {
            placement.job.backoffUntil = context.wallTime + TASK_UNKNOWN_BACKOFF
        }
    }

    /**
     * Records the completion of [task], which a machine reports without having a placement for it.
     * The machine keeps the result, so the completion counts on whichever machine it is found. The
     * report is ignored if the task did not complete or has a placement elsewhere.
     */
    private fun handleEndWithoutPlacement(task: TaskId, reported: ReportedTask) {
        val job = cluster.jobs[task.job] ?: return
        if (reported.cause != TaskEndCause.DONE) return
        if (job.hasEnded || job.isTaskDone(task.index)) return
        if (task.index !in 0 until job.spec.tasks) return
        if (job.placements.containsKey(task.index)) return
        cluster.complete(job, task.index)
        cluster.markChanged()
    }

    private companion object {
        /** How long a machine gets no new tasks after it refused one. */
        val REFUSAL_PAUSE = 1.seconds

        /** How long no tasks of a job are started after a machine did not know one of its tasks. */
        val TASK_UNKNOWN_BACKOFF = 3.seconds
    }
}
