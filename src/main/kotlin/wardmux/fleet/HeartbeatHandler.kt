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

/** Answers workers' heartbeats for the leader, whether they come directly or by a forwarder. */
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
    /** Whether forwarders, like this leader, redirect workers now. */
    val isRedirecting: Boolean
        get() = redirects.areActive

    /** Answers [call], by which a worker sent [heartbeat] to this controller itself. */
    fun handle(call: Long, heartbeat: WorkerHeartbeat) {
        if (registry.isDeleted(MachineId(heartbeat.machine))) {
            return context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
        }
        val machine = registry.findOrAdd(heartbeat)
        if (machine != null && rejectOrRedirect(call, machine, heartbeat)) return
        // Accepted whether or not the lease is renewed: what it says, a new incarnation above all,
        // holds in any case, and may be the evidence that lets the lease be renewed.
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

    /** Answers the heartbeat of a machine that is decommissioned or redirected; false otherwise. */
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
     * Takes in [heartbeat], which [forwarder] has answered at [sentAt], and returns what the
     * machine is to be told, or null if the forwarder is to refuse its heartbeats. Starts are sent
     * to the machine itself, so that one in flight can be told from one that is not.
     */
    fun handleForwarded(
        heartbeat: WorkerHeartbeat,
        forwarder: String,
        sentAt: Micros,
    ): List<WorkerCommand>? {
        if (registry.isDeleted(MachineId(heartbeat.machine))) return null
        val machine = registry.findOrAdd(heartbeat) ?: return emptyList()
        // The forwarder may have renewed the lease, so it may run from here.
        machine.renewedAt = context.now
        if (isDecommissioned(machine, heartbeat)) return null
        val accepted = reconciler.accept(machine, heartbeat, forwarder, sentAt)
        val decision = renewals.decide(heartbeat, cancellations)
        if (decision is RenewalDecision.Withhold) {
            verifyAbsenceOfCancelled(machine, decision)
            // Forwarders withhold the renewal themselves; those of an earlier version refuse it.
            if (decision.reason == WithholdingReason.ABSENCE_UNVERIFIED) return null
        }
        val stops = (decision as? RenewalDecision.Renew)?.renewal?.requiredStops.orEmpty()
        // While the stored state is loaded, perhaps for long, cancellations are known already.
        return if (accepted && cancellations.isLoaded) {
            commands.commandsFor(machine, heartbeat, withStarts = false)
        } else stops
    }

    /** A decommissioned machine gets no answer: its lease is to end if its deletion takes long. */
    private fun isDecommissioned(machine: Machine, heartbeat: WorkerHeartbeat): Boolean {
        if (machine.isDecommissioned) reconciler.recordMachineState(machine, heartbeat)
        return machine.isDecommissioned
    }

    private fun verifyAbsenceOfCancelled(machine: Machine, decision: RenewalDecision.Withhold) {
        if (decision.reason == WithholdingReason.ABSENCE_UNVERIFIED) {
            directCommands.resendStopsOfCancelled(machine)
        }
    }
}
