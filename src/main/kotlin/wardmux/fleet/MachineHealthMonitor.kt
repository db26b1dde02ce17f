package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Checks the machines that are up, and decommissions those that stopped sending heartbeats, were
 * preempted or do not receive commands. Time alone releases no task: a silent machine may hang, so
 * that the end of its lease has not ended its tasks yet. They count as being on the machine until
 * it sends a heartbeat of a new incarnation or is deleted.
 */
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

    /**
     * When the first check ran, or null before it. Workers have been able to adopt this leader's
     * fencing token since then at the latest, because a leader that has loaded the stored state
     * renews leases.
     */
    private var reachableSince: Micros? = null

    /**
     * Machines that one check found to have a problem, by problem. Whether they are decommissioned
     * depends on how many have the same problem.
     */
    private class DecommissionCandidates {
        val silent = ArrayList<Machine>()
        val withExpiredLease = ArrayList<Machine>()
        val unreachable = ArrayList<Machine>()
        val withUnlistedStart = ArrayList<Machine>()
    }

    /**
     * Checks all machines if the last check is at least [CHECK_PERIOD] ago. Must be called only
     * while the stored state is loaded.
     */
    fun check() {
        if (context.now < nextCheckAt) return
        nextCheckAt = context.now + CHECK_PERIOD
        val since = reachableSince ?: context.now.also { reachableSince = it }
        val up = upMachines()
        val candidates = DecommissionCandidates()
        for (machine in up) check(machine, candidates)
        // If all machines are silent, this controller is probably cut off from the network.
        if (allAreSilent(up)) return
        decommission(candidates, up.size)
        unconfirmedMachines.check(since)
    }

    private fun check(machine: Machine, candidates: DecommissionCandidates) {
        val silence = context.now - (machine.lastHeartbeatAt ?: return)
        machine.hasOverdueStart = unlistedFor(machine) > timeouts.unlistedStart
        // Users were promised that tasks of cancelled jobs are gone by a certain time.
        if (machine.holdsCancelled && isSilentBeyondLease(machine, silence))
            decommissioner.decommission(machine, DecommissionReason.LEASE_EXPIRED)
        if (machine.hasUnansweredStart && machine.forwardedBy != null) releaseUnsentStarts(machine)
        if (isPreempted(machine, silence)) {
            decommissioner.decommission(machine, DecommissionReason.PREEMPTED)
        }
        if (silence > timeouts.overdue) prober.probe(machine)
        addCandidate(machine, silence, candidates)
    }

    /**
     * Whether the preemption time in the provider's notice has passed and the machine is silent.
     * Deleting such a machine proves that it is gone, which is faster than waiting for its lease to
     * expire.
     */
    private fun isPreempted(machine: Machine, silence: Micros) =
        context.now > machine.preemptedAt + PREEMPTION_MARGIN && silence > PREEMPTION_MARGIN

    /**
     * Adds [machine] to the list in [candidates] for the problem it has, if any. A machine without
     * tasks that can get none, because of an unanswered start or because it has to list very many
     * ended attempts, is decommissioned at once.
     */
    private fun addCandidate(
        machine: Machine,
        silence: Micros,
        candidates: DecommissionCandidates,
    ) {
        if (!machine.isEmpty && isSilentBeyondLease(machine, silence))
            candidates.withExpiredLease.add(machine)
        when {
            silence > timeouts.lost -> candidates.silent.add(machine)
            silence > timeouts.unreachable && machine.hasProbeFailed ->
                candidates.unreachable.add(machine)
            // No new tasks are started on this machine, so the unanswered start can do no harm.
            machine.hasUnansweredStart && machine.isEmpty ->
                decommissioner.decommission(machine, DecommissionReason.START_UNANSWERED)
            // On an empty machine all of these have ended, and nothing else lets it forget them.
            machine.isEmpty && machine.directStarts.sentCount >= MAX_RETAINED_ATTEMPTS ->
                decommissioner.decommission(machine, DecommissionReason.MANY_ENDED_ATTEMPTS)
            machine.hasOverdueStart -> candidates.withUnlistedStart.add(machine)
        }
    }

    /**
     * Whether [machine] has been silent for longer than a lease lasts, and its lease has certainly
     * expired. Its tasks are lost then: they have ended, or end as soon as the machine executes
     * anything again.
     */
    private fun isSilentBeyondLease(machine: Machine, silence: Micros) =
        silence > leaseExpiry.maxLeaseDuration && leaseExpiry.hasExpired(machine)

    /**
     * Releases the placements on [machine] whose start cannot be sent. After an unanswered direct
     * start the machine gets no further direct starts, and responses of forwarders contain no
     * starts. Without the release, committed placements that this leader created but has not
     * started would wait until the machine is deleted.
     */
    private fun releaseUnsentStarts(machine: Machine) {
        val unsent =
            machine.placements.values.filter {
                it.isCommitted && !it.isRestored && it.startedAt == null && !it.isStartSent
            }
        for (placement in unsent) cluster.release(placement, "its start cannot be sent")
    }

    /**
     * Decommissions the [candidates], out of [up] machines that are up. If too many have the same
     * problem at once, a network fault is more likely than faults of the machines, and they are
     * kept. Machines that hold tasks are decommissioned once their lease has expired, however many
     * they are, because only their deletion lets the tasks run elsewhere. Machines that have had
     * the problem for more than twice the longest lease duration are decommissioned in any case,
     * unless only their probes fail.
     */
    private fun decommission(candidates: DecommissionCandidates, up: Int) {
        val maxDuration = leaseExpiry.maxLeaseDuration * 2.0
        decommissionAll(candidates.withExpiredLease, DecommissionReason.LEASE_EXPIRED)
        val maySilent = BulkLimit.DEFAULT.allows(candidates.silent.size, up)
        decommissionAll(
            candidates.silent.filter { maySilent || silenceOf(it) > maxDuration },
            DecommissionReason.SILENT,
        )
        if (BulkLimit.UNREACHABLE.allows(candidates.unreachable.size, up))
            decommissionAll(candidates.unreachable, DecommissionReason.SILENT_AND_UNREACHABLE)
        val mayUnlisted = BulkLimit.DEFAULT.allows(candidates.withUnlistedStart.size, up)
        decommissionAll(
            candidates.withUnlistedStart.filter { mayUnlisted || unlistedFor(it) > maxDuration },
            DecommissionReason.STARTS_NOT_REPORTED,
        )
    }

    private fun decommissionAll(machines: List<Machine>, reason: String) {
        for (machine in machines) decommissioner.decommission(machine, reason)
    }

    /** How long ago [machine] sent its last heartbeat; zero if it sent none. */
    private fun silenceOf(machine: Machine): Micros =
        context.now - (machine.lastHeartbeatAt ?: context.now)

    /**
     * For how long heartbeats of [machine] have arrived without listing a task whose start was
     * sent; zero if there is no such task. The start may still be in flight, so only deleting the
     * machine frees the task, its resources and its quota.
     */
    private fun unlistedFor(machine: Machine): Micros {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return Micros.ZERO
        // After the stored state was loaded again, the placements no longer tell that their starts
        // were sent.
        var earliestStart = machine.directStarts.unansweredSince ?: Micros.NEVER
        for (placement in machine.placements.values) {
            val startedAt = placement.startedAt ?: continue
            if (placement.status == null) earliestStart = minOf(earliestStart, startedAt)
        }
        return maxOf(lastHeartbeatAt - earliestStart, Micros.ZERO)
    }

    private fun upMachines() = cluster.machines.values.filter { it.isUp && !it.isDecommissioned }

    /**
     * Whether none of the machines [up] sent a heartbeat recently; false if there are fewer than
     * [MIN_MACHINES_FOR_PARTITION_CHECK]. It is unlikely that all of them fail within one heartbeat
     * period, so this controller is probably cut off from the network.
     */
    private fun allAreSilent(up: List<Machine>): Boolean {
        if (up.size < MIN_MACHINES_FOR_PARTITION_CHECK) return false
        val last = up.maxOf { it.lastHeartbeatAt ?: Micros.LONG_AGO }
        return context.now - last > maxOf(timeouts.overdue, MIN_SILENCE_OF_ALL)
    }

    /**
     * Whether most machines that were up are silent. They may be sending their heartbeats to other
     * controllers. False if there are fewer than [MIN_MACHINES_FOR_PARTITION_CHECK].
     */
    fun areMostSilent(): Boolean {
        val up = upMachines()
        if (allAreSilent(up)) return true
        val silent = up.count { context.now - (it.lastHeartbeatAt ?: context.now) > timeouts.quiet }
        return up.size >= MIN_MACHINES_FOR_PARTITION_CHECK && silent * 2 > up.size
    }

    private companion object {
        /**
         * An empty machine that has to remember at least this many ended attempts is replaced, so
         * that its list of tasks does not become full.
         */
        const val MAX_RETAINED_ATTEMPTS = Machine.MAX_LISTED_TASKS / 2

        val CHECK_PERIOD = 400.milliseconds

        /**
         * How long a machine must be silent, and past its preemption time, to count as preempted.
         */
        val PREEMPTION_MARGIN = 1.seconds

        /** With fewer machines, their silence does not show that this controller is cut off. */
        const val MIN_MACHINES_FOR_PARTITION_CHECK = 4

        /** All machines must be silent for at least this long before they count as silent. */
        val MIN_SILENCE_OF_ALL = 6.seconds
    }
}
