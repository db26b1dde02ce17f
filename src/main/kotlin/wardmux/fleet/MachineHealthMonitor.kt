package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineTypes
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** Which machines are given up, because they fell silent or because orders do not reach them. */
class MachineHealthMonitor(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val fleet: Fleet,
    private val types: MachineTypes,
    private val workers: WorkerTiming,
    private val operators: OperatorSettings,
    private val loaded: () -> Boolean,
    /** The latest that a relay may have renewed a lease, of which the first is known. */
    private val renewedAtLatest: (Micros, Micros) -> Micros,
    private val decommission: (Machine, String) -> Unit,
) {
    private val log = logger<MachineHealthMonitor>()
    private val electedAt = context.now
    private val lostAfter = (workers.heartbeatPeriodS * operators.lostHeartbeats).seconds
    private val askAfter = (workers.heartbeatPeriodS * OVERDUE_REPORTS).seconds
    private val unreachableAfter =
        maxOf((workers.heartbeatPeriodS * UNREACHABLE_REPORTS).seconds, UNREACHABLE_LEAST)
    private val leaseOver =
        workers.leaseS.seconds * (1 + MAX_CLOCK_DRIFT) + operators.leaseMarginS.seconds
    private var watchAt = Micros.LONG_AGO

    /** Since when workers could be heard: all that is stored has been read. */
    private var watchedSince: Micros? = null

    /** Machines that may have to be given up, by what speaks against them. */
    private class Suspects {
        val silent = ArrayList<Machine>()
        val unreachable = ArrayList<Machine>()
        val deaf = ArrayList<Machine>()
    }

    /** Notices machines that fell silent, or that orders do not reach. */
    fun watch() {
        if (context.now < watchAt) return
        watchAt = context.now + WATCH_PERIOD
        if (watchedSince == null) watchedSince = context.now
        val up = up()
        val suspects = Suspects()
        for (machine in up) watch(machine, suspects)
        // Then it is this controller that is cut off, and no machine is given up for it.
        if (nobodyHeard(up)) return
        giveUp(suspects, up.size)
        watchUnheard()
    }

    private fun watch(machine: Machine, suspects: Suspects) {
        val silence = context.now - (machine.lastHeartbeatAt ?: return)
        if (!machine.isEmpty && isLeaseOver(machine)) expireLease(machine, silence)
        if (machine.hasUnansweredStart && machine.forwardedBy != null) fleet.releaseUnsent(machine)
        // Past its notice and quiet: taken. Deleting it proves that, sooner than waiting does.
        val taken = context.now > machine.preemptedAt + TAKEN_MARGIN && silence > TAKEN_MARGIN
        if (taken) decommission(machine, "taken back")
        if (silence > askAfter) probe(machine)
        when {
            silence > lostAfter -> suspects.silent.add(machine)
            silence > unreachableAfter && machine.probeFailed -> suspects.unreachable.add(machine)
            // Nothing new goes there, so that what went unanswered can do no harm.
            machine.hasUnansweredStart && machine.isEmpty ->
                decommission(machine, "orders unanswered")
            isDeaf(machine) -> suspects.deaf.add(machine)
        }
    }

    private fun expireLease(machine: Machine, silence: Micros) {
        log.info("the lease of {} is over", machine.id)
        // Should it hang, what was cancelled goes when it is deleted. A later leader would not know
        // of it any more.
        if (silence > leaseOver && machine.holdsCancelled) decommission(machine, "lease over")
        cluster.clear(machine, "lease over")
    }

    /** Many at once: more likely the network than the machines. Their leases decide. */
    private fun giveUp(suspects: Suspects, up: Int) {
        val many = maxOf(FEW, up / MANY_PART)
        for (machine in suspects.silent) {
            val silence = context.now - (machine.lastHeartbeatAt ?: continue)
            if (suspects.silent.size <= many || silence > leaseOver + leaseOver)
                decommission(machine, "silent")
        }
        if (suspects.unreachable.size <= maxOf(FEW, up / UNREACHABLE_PART)) {
            for (machine in suspects.unreachable) {
                decommission(machine, "silent and not to be reached")
            }
        }
        if (suspects.deaf.size <= many) {
            for (machine in suspects.deaf) decommission(machine, "orders do not reach it")
        }
    }

    /**
     * It has taken this leader's token, so nobody but this leader and its relays can have renewed
     * its lease.
     */
    private fun isLeaseOver(machine: Machine): Boolean {
        val from = machine.leaseFrom
        if (context.now - from <= leaseOver) return false
        return context.now - renewedAtLatest(from, leaseOver) > leaseOver
    }

    /**
     * Asks a machine whose report is overdue. An answer is a sign of life like a report; that none
     * comes is a second reason to give it up, and so it is given up sooner.
     */
    private fun probe(machine: Machine) {
        if (context.now < machine.probeAt || machine.endpoint.isEmpty()) return
        if (!fleet.mayAsk) return
        machine.probeAt = context.now + PROBE_PAUSE
        fleet.ask(machine, PROBE_TIME) { machine.probeFailed = true }
    }

    /**
     * Its reports arrive, but go on lacking a start that was sent long ago. The start may still be
     * under way, so only the machine's deletion frees the task, its room and its cap. That it was
     * sent is not known any more if what is stored was read again since; what is loose tells it.
     */
    private fun isDeaf(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        val patience = maxOf((workers.heartbeatPeriodS * UNSHOWN_REPORTS).seconds, UNSHOWN_LEAST)
        return machine.placements.values.any {
            if (it.status != null) return@any false
            val startedAt =
                it.startedAt ?: machine.startUnansweredSince.takeIf { _ -> isLoose(machine, it) }
            startedAt != null && lastHeartbeatAt - startedAt > patience
        }
    }

    private fun isLoose(machine: Machine, placement: Placement) =
        placement.taskAttempt in machine.unconfirmedStarts

    private fun up() = cluster.machines.values.filter { it.isUp && !it.decommissioned }

    /**
     * A machine with placements that never reported under this leader's token: an earlier leader
     * may keep its lease alive, so only its deletion proves anything. One of which no more is known
     * than a report under an older token may be gone for long.
     */
    private fun watchUnheard() {
        if (!loaded()) return
        val patience = workers.leaseS.seconds + lostAfter
        for (machine in cluster.machines.values) {
            val since = machine.firstStaleHeartbeatAt ?: continue
            if (machine.isUp || machine.decommissioned || context.now - since < patience) continue
            decommission(machine, "never took this leader's token")
        }
        val unheard =
            cluster.machines.values.filter {
                !it.isUp && !it.decommissioned && it.placements.isNotEmpty()
            }
        val unknown = cluster.unheardOf().toList()
        // How long ago the cancellation was is not known, so these get one report's time.
        val since = watchedSince ?: context.now
        if (context.now - since >= REPORT_TIME + askAfter) {
            for (machine in unheard) {
                if (machine.holdsCancelled) decommission(machine, "cancelled tasks, never reported")
            }
            for (id in unknown) if (cluster.holdsCancelled(id)) decommissionUnknown(id)
        }
        // Where most machines have found this leader, it is not for it that the rest are silent.
        // Not before a lease is over: one that is back by then is worth more than its tasks' time.
        val up = cluster.machines.values.count { it.isUp }
        val few = (unheard.size + unknown.size) * 2 <= up
        val due = if (few) maxOf(workers.leaseS.seconds, lostAfter) + REPORT_TIME else patience
        if (context.now - electedAt < due) return
        for (machine in unheard) decommission(machine, "never reported to this leader")
        for (id in unknown) decommissionUnknown(id)
    }

    /** One that only records tell of. */
    private fun decommissionUnknown(id: MachineId) {
        val type = types.types?.firstOrNull() ?: return
        val machine = fleet.machine(id, type.label, "", false) ?: return
        decommission(machine, "never reported to this leader")
    }

    /** So many machines do not fall silent within one report of each other. */
    private fun nobodyHeard(up: List<Machine>): Boolean {
        if (up.size < ENOUGH) return false
        val last = up.maxOf { it.lastHeartbeatAt ?: Micros.LONG_AGO }
        return context.now - last > maxOf(askAfter, NOBODY_LEAST)
    }

    /** Most of the machines that were heard fell silent: perhaps they hear other controllers. */
    fun isLeftAlone(): Boolean {
        val up = up()
        if (nobodyHeard(up)) return true
        val quiet = (workers.heartbeatPeriodS * operators.quietHeartbeats).seconds
        val silent = up.count { context.now - (it.lastHeartbeatAt ?: context.now) > quiet }
        return up.size >= ENOUGH && silent * 2 > up.size
    }

    private companion object {
        val TAKEN_MARGIN = 1.seconds
        val WATCH_PERIOD = 400.milliseconds
        /** Reports that may lack a start before the machine counts as deaf. */
        const val UNSHOWN_REPORTS = 2.5
        val UNSHOWN_LEAST = 8.seconds
        const val FEW = 2
        /** A report comes after at most one and a quarter of its usual time. */
        const val OVERDUE_REPORTS = 1.5
        const val UNREACHABLE_REPORTS = 2.0
        const val UNREACHABLE_PART = 5
        /** Short hangs and cuts pass by themselves. */
        val UNREACHABLE_LEAST = 8.seconds
        val PROBE_TIME = 3.seconds
        val PROBE_PAUSE = 5.seconds
        const val ENOUGH = 4
        val NOBODY_LEAST = 6.seconds
        /** What a worker waits for an answer, and until it tries the next controller. */
        val REPORT_TIME = 5.seconds
        const val MANY_PART = 3
    }
}
