package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** Decommissions machines that fell silent or that commands do not reach. */
class MachineHealthMonitor(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val timeouts: HeartbeatTimeouts,
    private val leaseExpiry: LeaseExpiry,
    private val prober: MachineProber,
    private val unconfirmedMachines: UnconfirmedMachineMonitor,
    private val decommissioner: MachineDecommissioner,
) {
    private val log = logger<MachineHealthMonitor>()
    private var nextCheckAt = Micros.LONG_AGO

    /** Since when workers could reach this leader: the stored state was loaded. */
    private var reachableSince: Micros? = null

    /** Machines that may have to be decommissioned, by the reason for it. */
    private class DecommissionCandidates {
        val silent = ArrayList<Machine>()
        val unreachable = ArrayList<Machine>()
        val withUnlistedStart = ArrayList<Machine>()
    }

    /** Checks all machines, if that is due. To be called only while the stored state is loaded. */
    fun check() {
        if (context.now < nextCheckAt) return
        nextCheckAt = context.now + CHECK_PERIOD
        val since = reachableSince ?: context.now.also { reachableSince = it }
        val up = upMachines()
        val candidates = DecommissionCandidates()
        for (machine in up) check(machine, candidates)
        // Then it is this controller that is cut off, and no machine is decommissioned for it.
        if (allAreSilent(up)) return
        decommission(candidates, up.size)
        unconfirmedMachines.check(since)
    }

    private fun check(machine: Machine, candidates: DecommissionCandidates) {
        val silence = context.now - (machine.lastHeartbeatAt ?: return)
        if (!machine.isEmpty && leaseExpiry.hasExpired(machine)) expireLease(machine, silence)
        if (machine.hasUnansweredStart && machine.forwardedBy != null) releaseUnsentStarts(machine)
        if (isPreempted(machine, silence)) {
            decommissioner.decommission(machine, DecommissionReason.PREEMPTED)
        }
        if (silence > timeouts.overdue) prober.probe(machine)
        addCandidate(machine, silence, candidates)
    }

    /**
     * Past the time in the provider's notice, and silent. Deleting the machine proves that it is
     * preempted, sooner than waiting for the end of its lease does.
     */
    private fun isPreempted(machine: Machine, silence: Micros) =
        context.now > machine.preemptedAt + PREEMPTION_MARGIN && silence > PREEMPTION_MARGIN

    private fun addCandidate(
        machine: Machine,
        silence: Micros,
        candidates: DecommissionCandidates,
    ) {
        when {
            silence > timeouts.lost -> candidates.silent.add(machine)
            silence > timeouts.unreachable && machine.hasProbeFailed ->
                candidates.unreachable.add(machine)
            // Nothing new is started there, so the unanswered start can do no harm.
            machine.hasUnansweredStart && machine.isEmpty ->
                decommissioner.decommission(machine, DecommissionReason.START_UNANSWERED)
            hasUnlistedStart(machine) -> candidates.withUnlistedStart.add(machine)
        }
    }

    private fun expireLease(machine: Machine, silence: Micros) {
        log.info("the lease of {} is over", machine.id)
        // If the machine hangs, cancelled tasks end when it is deleted. A later leader would not
        // know of them any more.
        if (silence > leaseExpiry.maxLeaseDuration && machine.holdsCancelled) {
            decommissioner.decommission(machine, DecommissionReason.LEASE_EXPIRED)
        }
        cluster.releaseAll(machine, "lease over")
    }

    /**
     * Direct starts are not sent to a machine any more once one went unanswered, and the responses
     * of forwarders hold none. Placements recorded there since, whose start only this leader could
     * have sent and did not, would wait for as long as the machine lives.
     */
    private fun releaseUnsentStarts(machine: Machine) {
        val unsent =
            machine.placements.values.filter {
                it.isCommitted && !it.isRestored && it.startedAt == null && !it.isStartSent
            }
        for (placement in unsent) cluster.release(placement, "its start can't be sent")
    }

    /** Many at once: more likely the network than the machines. Then their leases decide. */
    private fun decommission(candidates: DecommissionCandidates, up: Int) {
        val maxAtOnce = maxOf(MIN_BULK_LIMIT, up / BULK_LIMIT_DIVISOR)
        for (machine in candidates.silent) {
            val silence = context.now - (machine.lastHeartbeatAt ?: continue)
            val maxLeaseDuration = leaseExpiry.maxLeaseDuration
            if (
                candidates.silent.size <= maxAtOnce || silence > maxLeaseDuration + maxLeaseDuration
            )
                decommissioner.decommission(machine, DecommissionReason.SILENT)
        }
        if (
            candidates.unreachable.size <=
                maxOf(MIN_BULK_LIMIT, up / UNREACHABLE_BULK_LIMIT_DIVISOR)
        ) {
            for (machine in candidates.unreachable) {
                decommissioner.decommission(machine, DecommissionReason.SILENT_AND_UNREACHABLE)
            }
        }
        if (candidates.withUnlistedStart.size <= maxAtOnce) {
            for (machine in candidates.withUnlistedStart) {
                decommissioner.decommission(machine, DecommissionReason.STARTS_NOT_REPORTED)
            }
        }
    }

    /**
     * Its heartbeats arrive, but still lack a start that was sent long ago. The start may still be
     * in flight, so only the machine's deletion frees the task, its room and its quota. If the
     * stored state was loaded again since, only the unconfirmed starts tell that it was sent.
     */
    private fun hasUnlistedStart(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        return machine.placements.values.any {
            if (it.status != null) return@any false
            val startedAt = it.startedAt ?: unansweredStartSince(machine, it)
            startedAt != null && lastHeartbeatAt - startedAt > timeouts.unlistedStart
        }
    }

    private fun unansweredStartSince(machine: Machine, placement: Placement): Micros? =
        machine.startUnansweredSince.takeIf { placement.taskAttempt in machine.unconfirmedStarts }

    private fun upMachines() = cluster.machines.values.filter { it.isUp && !it.isDecommissioned }

    /** So many machines do not fall silent within one heartbeat of each other. */
    private fun allAreSilent(up: List<Machine>): Boolean {
        if (up.size < MIN_MACHINES_FOR_PARTITION_CHECK) return false
        val last = up.maxOf { it.lastHeartbeatAt ?: Micros.LONG_AGO }
        return context.now - last > maxOf(timeouts.overdue, MIN_SILENCE_OF_ALL)
    }

    /** Whether most machines fell silent: perhaps they are talking to other controllers. */
    fun areMostSilent(): Boolean {
        val up = upMachines()
        if (allAreSilent(up)) return true
        val silent = up.count { context.now - (it.lastHeartbeatAt ?: context.now) > timeouts.quiet }
        return up.size >= MIN_MACHINES_FOR_PARTITION_CHECK && silent * 2 > up.size
    }

    private companion object {
        val CHECK_PERIOD = 400.milliseconds
        val PREEMPTION_MARGIN = 1.seconds

        /** Up to so many, or to one in so many, are decommissioned at once. */
        const val MIN_BULK_LIMIT = 2
        const val BULK_LIMIT_DIVISOR = 3
        const val UNREACHABLE_BULK_LIMIT_DIVISOR = 5

        /** With fewer machines it is not told whether this controller is cut off. */
        const val MIN_MACHINES_FOR_PARTITION_CHECK = 4
        val MIN_SILENCE_OF_ALL = 6.seconds
    }
}
