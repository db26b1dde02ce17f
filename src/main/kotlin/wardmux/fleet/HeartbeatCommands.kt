package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.lease.LeaderCancellationView
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.TaskEndCause
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.scheduling.ClusterState
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerCommand
import wardmux.worker.WorkerHeartbeat

/** Determines the commands that the response to a heartbeat contains. */
class HeartbeatCommands(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val leadership: LeaderElection,
    private val cancellations: LeaderCancellationView,
) {
    /**
     * Returns the commands for [machine] in response to [heartbeat]: stop and forget commands for
     * the tasks that it lists and, if [withStarts] is true and the leader's lease is valid, start
     * commands. Returns none while the stored state is not loaded.
     */
    fun commandsFor(
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        withStarts: Boolean,
    ): List<WorkerCommand> {
        val commands = ArrayList<WorkerCommand>()
        if (!cancellations.isLoaded) return commands
        for (reported in heartbeat.tasks) commandFor(machine, reported)?.let { commands.add(it) }
        if (withStarts && leadership.leaseIsValid) addStarts(machine, heartbeat, commands)
        return commands
    }

    /** Returns the command for a task that is on the machine, or null if none is needed. */
    private fun commandFor(machine: Machine, reported: ReportedTask): WorkerCommand? {
        if (reported.status == TaskStatus.ENDED) {
            if (!mayForget(machine, reported)) return null
            return WorkerCommand.forget(reported.task, reported.attempt)
        }
        return stopFor(machine, reported)
    }

    /** Returns the command to stop a task that has not ended, or null if it may go on. */
    private fun stopFor(machine: Machine, reported: ReportedTask): WorkerCommand? {
        val placement = machine.placementOf(reported.task, reported.attempt)
        if (placement == null || placement.job.hasEnded) {
            return WorkerCommand.stop(reported.task, reported.attempt, gracePeriodS = 0.0)
        }
        if (!placement.isStopping || reported.status == TaskStatus.SAVING) return null
        val gracePeriod = placement.gracePeriod ?: Micros.ZERO
        return WorkerCommand.stop(reported.task, reported.attempt, gracePeriod.inSeconds)
    }

    private fun addStarts(
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        commands: ArrayList<WorkerCommand>,
    ) {
        for (placement in machine.placements.values) {
            if (commands.size >= MAX_COMMANDS_PER_RESPONSE) break
            if (placement.lastSeenTick == heartbeat.tick) continue
            if (!placement.mayStartOn(machine)) continue
            commands.add(WorkerCommand.start(placement.name, placement.attempt))
            machine.directStarts.recordSentInResponse(placement.taskAttempt)
            placement.markStartSent(context.now)
        }
    }

    /**
     * Whether [machine] may forget the ended task [reported].
     *
     * A copy of a direct start may arrive late, whether or not the start was answered. If the
     * machine had forgotten the attempt, it would run the attempt again, in parallel with the
     * task's next attempt or although its job was cancelled since. An attempt that did not complete
     * its task is therefore kept as long as a copy of its start may arrive. If the machine lists
     * very many of them, it gets no further tasks instead (see [Machine.listingRoom]). Attempts of
     * earlier leaders need not be kept, because the response with the forget command makes their
     * starts void.
     *
     * A completed task is kept until its completion is recorded. A late start does not run it
     * again, because the worker keeps the result.
     */
    private fun mayForget(machine: Machine, reported: ReportedTask): Boolean {
        val attempt = reported.taskAttempt
        if (reported.cause != TaskEndCause.DONE) return !machine.directStarts.mayArrive(attempt)
        if (!isCompletionRecorded(reported)) return false
        machine.directStarts.recordForgotten(attempt)
        return true
    }

    /**
     * Whether the completion of the task [reported] is recorded in the key-value store. Until then
     * only this leader and the machine know of it.
     */
    private fun isCompletionRecorded(reported: ReportedTask): Boolean {
        val task = TaskId.parse(reported.task) ?: return true
        val job = cluster.jobs[task.job] ?: return true
        return job.hasEnded || job.isRecordedDone(task.index)
    }

    private companion object {
        const val MAX_COMMANDS_PER_RESPONSE = 400
    }
}
