package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.election.LeaderElection
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.DirectCommands
import wardmux.worker.WorkerCommand

/**
 * Sends new commands directly to the machines, instead of waiting for their next heartbeat and
 * putting the commands in the response to it. If a machine does not respond, it is unknown whether
 * it carries out a command: see [Machine.directStarts].
 */
class DirectCommandSender(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val client: WorkerClient,
    private val reachability: CommandReachability,
    private val leadership: LeaderElection,
    private val token: FencingToken,
) {
    private val log = logger<DirectCommandSender>()

    /** Sends all commands that are due, until the limit on open requests is reached. */
    fun sendDue() {
        val machines = cluster.machinesWithCommands.iterator()
        while (machines.hasNext() && client.hasCapacity) {
            val machine = machines.next()
            // A machine gets one request at a time. After a failed connection it is not retried at
            // once: if a whole zone is cut off, the retries would delay the commands to all other
            // machines.
            val isConnectionRetryPaused =
                context.now - machine.connectionFailedAt < CONNECTION_RETRY_PAUSE
            if (machine.isCommandInFlight || isConnectionRetryPaused) continue
            val mayCommand = machine.hasAdoptedToken || machine.holdsCancelled
            val canSend = mayCommand && !machine.isDecommissioned && machine.endpoint.isNotEmpty()
            if (!canSend || machine.hasUnansweredStart) {
                machines.remove()
                continue
            }
            val hasMore = sendDue(machine)
            if (!hasMore && !machine.isCommandInFlight) machines.remove()
        }
    }

    /**
     * Schedules the stop commands for tasks of cancelled jobs on [machine] to be sent again, unless
     * a command to it is in flight. The stops need no lease renewal. The response shows whether the
     * tasks are on the machine. The machine also adopts this leader's fencing token, so it refuses
     * all starts that were sent earlier under an older token.
     */
    fun resendStopsOfCancelled(machine: Machine) {
        if (machine.isCommandInFlight) return
        for (placement in machine.placements.values) {
            if (placement.job.isCancelled) placement.isStopSent = false
        }
        cluster.machinesWithCommands.add(machine)
    }

    /**
     * Sends the commands that are due to [machine] in one request. Returns true if some of its
     * commands cannot be sent yet.
     */
    private fun sendDue(machine: Machine): Boolean {
        val starts = ArrayList<Placement>()
        val commands = ArrayList<WorkerCommand>()
        var hasMore = false
        for (placement in machine.placements.values) {
            if (isStopDue(machine, placement)) {
                commands.add(stop(placement))
                placement.isStopSent = true
            } else if (isStartDue(machine, placement)) {
                if (starts.size < MAX_STARTS_PER_REQUEST) starts.add(placement) else hasMore = true
            } else if (!placement.isCommitted || isWaitingForGang(placement)) {
                hasMore = true
            }
        }
        for (placement in starts) commands.add(start(machine, placement))
        if (commands.isNotEmpty()) send(machine, commands, starts)
        return hasMore
    }

    private fun start(machine: Machine, placement: Placement): WorkerCommand {
        val wasSentBefore = placement.startedAt != null
        machine.directStarts.recordSent(placement.taskAttempt, wasSentBefore)
        placement.markStartSent(context.now)
        return WorkerCommand.start(placement.name, placement.attempt)
    }

    private fun stop(placement: Placement): WorkerCommand {
        val gracePeriod = if (placement.job.hasEnded) Micros.ZERO else placement.gracePeriod
        val inSeconds = (gracePeriod ?: Micros.ZERO).inSeconds
        return WorkerCommand.stop(placement.name, placement.attempt, inSeconds)
    }

    /**
     * Whether a stop has to be sent for the task of [placement]. This includes a task of a
     * cancelled job that [machine] does not list, if the machine has never adopted this leader's
     * fencing token, because its heartbeats then do not prove that the task is absent.
     */
    private fun isStopDue(machine: Machine, placement: Placement): Boolean {
        if (placement.isStopSent) return false
        val shouldBeAbsent = placement.isStopping || placement.job.hasEnded
        val isAbsenceUnverified = placement.job.isCancelled && !machine.hasAdoptedToken
        return shouldBeAbsent && (placement.status != null || isAbsenceUnverified)
    }

    private fun isStartDue(machine: Machine, placement: Placement) =
        !placement.isStartSent && placement.mayStartOn(machine) && leadership.leaseIsValid

    private fun isWaitingForGang(placement: Placement) =
        !placement.isStartSent && !placement.job.mayStart

    private fun send(machine: Machine, commands: List<WorkerCommand>, starts: List<Placement>) {
        machine.recordCommandSent(context.now)
        val incarnation = machine.incarnation
        val body = DirectCommands(token.value, incarnation, commands)
        client.sendCommands(machine, body) { outcome ->
            machine.recordCommandOutcome()
            if (outcome is Outcome.Response) reachability.recordResponse()
            else reachability.recordNoResponse(machine)
            if (starts.any { it.isStopSent } || !machine.isEmpty)
                cluster.machinesWithCommands.add(machine)
            when (outcome) {
                is Outcome.Response -> handleResponse(machine, incarnation, starts, outcome)
                is Outcome.NotSent -> {
                    machine.connectionFailedAt = context.now
                    for (placement in starts) placement.isStartSent = false
                    if (machine.incarnation == incarnation)
                        machine.directStarts.recordNotSent(starts.map { it.taskAttempt })
                }
                is Outcome.NoResponse -> handleNoResponse(machine, incarnation, starts)
            }
        }
    }

    private fun handleResponse(
        machine: Machine,
        incarnation: Long,
        starts: List<Placement>,
        response: Outcome.Response,
    ) {
        val accepted = response.status == HttpStatus.OK
        if (!accepted) for (placement in starts) placement.isStartSent = false
        recordOutcome(machine, incarnation, starts)
        // A worker that refuses the commands because of their fencing token or incarnation also
        // responds with its state.
        if (accepted || response.status == HttpStatus.CONFLICT) client.accept(machine, response)
    }

    private fun handleNoResponse(machine: Machine, incarnation: Long, starts: List<Placement>) {
        if (machine.incarnation != incarnation || starts.isEmpty()) return
        log.info("machine {} did not respond to {} direct start commands", machine.id, starts.size)
        machine.directStarts.recordUnanswered(starts.map { it.taskAttempt }, context.now)
    }

    /**
     * Records that the request with [starts] was carried out or never will be, unless the worker of
     * [machine] has a new incarnation.
     */
    private fun recordOutcome(machine: Machine, incarnation: Long, starts: List<Placement>) {
        if (machine.incarnation != incarnation) return
        machine.directStarts.recordOutcome(starts.map { it.taskAttempt })
    }

    private companion object {
        val CONNECTION_RETRY_PAUSE = 2.seconds
        const val MAX_STARTS_PER_REQUEST = 300
    }
}
