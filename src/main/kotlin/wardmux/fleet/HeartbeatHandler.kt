package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.lease.LeaderCancellationView
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalDecision
import wardmux.lease.WithholdingReason
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.worker.Redirect
import wardmux.worker.WorkerCommand
import wardmux.worker.WorkerHeartbeat

/** Handles workers' heartbeats in the leader, both direct ones and those sent on by forwarders. */
class HeartbeatHandler(
    private val context: CoreContext,
    private val registry: MachineRegistry,
    private val reconciler: HeartbeatReconciler,
    private val commands: HeartbeatCommands,
    private val directCommands: DirectCommandSender,
    private val renewals: LeaseRenewals,
    private val cancellations: LeaderCancellationView,
    private val redirects: WorkerRedirects,
) {
    /** Whether this leader and its forwarders currently redirect workers to other controllers. */
    val isRedirecting: Boolean
        get() = redirects.areActive

    /** Answers [call], the request in which a worker sent [heartbeat] to this controller. */
    fun handle(call: Long, heartbeat: WorkerHeartbeat) {
        if (registry.isDeleted(MachineId(heartbeat.machine))) {
            return context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
        }
        val machine = registry.findOrAdd(heartbeat)
        if (machine != null && rejectOrRedirect(call, machine, heartbeat)) return
        // The heartbeat is accepted before the decision on the lease. Its content, in particular a
        // new incarnation, is valid whether or not the lease is renewed, and may be the evidence
        // that allows the renewal.
        val accepted = machine != null && reconciler.accept(machine, heartbeat, null, context.now)
        when (val decision = renewals.decide(heartbeat, cancellations)) {
            is RenewalDecision.Withhold -> {
                if (machine != null) verifyAbsenceOfCancelled(machine, decision)
                context.answerBytes(call, HttpStatus.OK, decision.response)
            }
            is RenewalDecision.Renew -> {
                machine?.renewedAt = context.now
                val commandsToSend =
                    if (machine != null && accepted) {
                        commands.commandsFor(machine, heartbeat, withStarts = true)
                    } else emptyList()
                context.answerBytes(call, HttpStatus.OK, decision.renewal.response(commandsToSend))
            }
        }
    }

    /**
     * Answers [call] if [machine] is decommissioned or its worker is redirected to another
     * controller. Returns whether [call] was answered.
     */
    private fun rejectOrRedirect(
        call: Long,
        machine: Machine,
        heartbeat: WorkerHeartbeat,
    ): Boolean {
        if (isDecommissioned(machine, heartbeat)) {
            context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
            return true
        }
        if (redirects.redirectIfDue(machine)) {
            context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
            return true
        }
        val target = redirects.rebalancingTarget() ?: return false
        context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, Redirect(target).encode())
        return true
    }

    /**
     * Processes [heartbeat], which [forwarder] answered at [sentAt]. Returns the commands for the
     * machine, or null if the forwarder has to refuse its heartbeats. The commands contain no
     * starts: those are sent directly to the machine, so that the leader can distinguish a start in
     * flight from one that is not.
     */
    fun handleForwarded(
        heartbeat: WorkerHeartbeat,
        forwarder: String,
        sentAt: Micros,
    ): List<WorkerCommand>? {
        if (registry.isDeleted(MachineId(heartbeat.machine))) return null
        val machine = registry.findOrAdd(heartbeat) ?: return emptyList()
        // The forwarder may have renewed the lease, so the lease may last from now on.
        machine.renewedAt = context.now
        if (isDecommissioned(machine, heartbeat)) return null
        val accepted = reconciler.accept(machine, heartbeat, forwarder, sentAt)
        val decision = renewals.decide(heartbeat, cancellations)
        if (decision is RenewalDecision.Withhold) {
            verifyAbsenceOfCancelled(machine, decision)
            // The null makes a forwarder of an earlier version refuse the machine's heartbeats, so
            // that it does not renew the lease. Forwarders of this version withhold the renewal
            // themselves and go on forwarding the heartbeats.
            if (decision.reason == WithholdingReason.ABSENCE_UNVERIFIED) return null
        }
        val stops = (decision as? RenewalDecision.Renew)?.renewal?.requiredStops.orEmpty()
        // While the stored state is still being loaded, which may take long, only the stops of
        // cancelled tasks are returned, because the cancellations are already known.
        return if (accepted && cancellations.isLoaded) {
            commands.commandsFor(machine, heartbeat, withStarts = false)
        } else stops
    }

    /**
     * Whether [machine] is decommissioned. If so, [heartbeat] is only recorded, without its tasks.
     * The lease of such a machine is not renewed, so that it expires even if the deletion takes
     * long.
     */
    private fun isDecommissioned(machine: Machine, heartbeat: WorkerHeartbeat): Boolean {
        if (machine.isDecommissioned) reconciler.recordMachineState(machine, heartbeat)
        return machine.isDecommissioned
    }

    /**
     * Sends the stops of cancelled tasks on [machine] again if the renewal was withheld because
     * such a task may still be there although the heartbeat does not list it.
     */
    private fun verifyAbsenceOfCancelled(machine: Machine, decision: RenewalDecision.Withhold) {
        if (decision.reason == WithholdingReason.ABSENCE_UNVERIFIED) {
            directCommands.resendStopsOfCancelled(machine)
        }
    }
}
