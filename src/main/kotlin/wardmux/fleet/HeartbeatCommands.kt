package wardmux.fleet

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.lease.LeaderCancellationView
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.TaskEndCause
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerCommand
import wardmux.worker.WorkerHeartbeat

/** The commands in the response to a heartbeat. */
class HeartbeatCommands(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val leadership: LeaderElection,
    private val cancellations: LeaderCancellationView,
    workers: WorkerTiming,
) {
    /**
     * How long an ended attempt is kept on its machine. A copy of a direct start may come late, and
     * would start a forgotten attempt again: beside the next one, or of a job that was cancelled
     * since. A completed task is not run again by it; all others are forgotten only after this
     * time, or with the worker's incarnation.
     */
    private val endedAttemptsKept = (workers.leaseS * ENDED_ATTEMPTS_KEPT_LEASES).seconds

    /** What [machine] is to do after [heartbeat]; [withStarts] also what it is to start. */
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

    /** What is to be done with a task that is on the machine, or null if it goes on. */
    private fun commandFor(machine: Machine, reported: ReportedTask): WorkerCommand? {
        if (reported.status == TaskStatus.ENDED) {
            if (!mayForget(machine, reported)) return null
            return WorkerCommand.forget(reported.task, reported.attempt)
        }
        return stopFor(machine, reported)
    }

    /** The command to stop a task that is not to go on, or null if it does. */
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
            if (commands.size >= MAX_COMMANDS) break
            if (placement.lastSeenTick == heartbeat.tick) continue
            if (!placement.mayStartOn(machine)) continue
            commands.add(WorkerCommand.start(placement.name, placement.attempt))
            placement.markStartSent(context.now)
        }
    }

    /** A completed task is recorded before the only other place that knows of it forgets it. */
    private fun mayForget(machine: Machine, reported: ReportedTask): Boolean {
        if (reported.taskAttempt in machine.unconfirmedStarts) return false
        if (reported.cause != TaskEndCause.DONE) {
            return machine.mayForget(reported.taskAttempt, context.now, endedAttemptsKept)
        }
        val task = TaskId.parse(reported.task) ?: return true
        val job = cluster.jobs[task.job] ?: return true
        return job.hasEnded || job.isRecordedDone(task.index)
    }

    private companion object {
        const val MAX_COMMANDS = 400
        const val ENDED_ATTEMPTS_KEPT_LEASES = 10.0
    }
}
