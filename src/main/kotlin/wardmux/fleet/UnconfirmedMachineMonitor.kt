package wardmux.fleet

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.lease.LeaderCancellationView
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Decommissions machines that never sent a heartbeat under this leader's token although they have
 * placements, have sent heartbeats under an older token, or are listed as running. An earlier
 * leader may still renew their leases, so only deleting them proves that no tasks run there.
 */
class UnconfirmedMachineMonitor(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val registry: MachineRegistry,
    private val decommissioner: MachineDecommissioner,
    private val cancellations: LeaderCancellationView,
    private val timeouts: HeartbeatTimeouts,
    private val workers: WorkerTiming,
) {
    private val electedAt = context.now

    /**
     * How long machines may take to send their first heartbeat under this leader's token if many
     * have not sent one.
     */
    private val longFirstHeartbeatTimeout = workers.leaseS.seconds + timeouts.lost

    /**
     * Decommissions the unconfirmed machines whose time for a first heartbeat has passed. Workers
     * have been able to adopt this leader's fencing token since [reachableSince] at the latest.
     */
    fun check(reachableSince: Micros) {
        if (!cancellations.isLoaded) return
        decommissionStale()
        decommissionListed()
        val unconfirmed =
            cluster.machines.values.filter {
                !it.isUp && !it.isDecommissioned && it.placements.isNotEmpty()
            }
        val unknownIds = cluster.unknownMachines.machines.toList()
        // It is unknown how long ago a job was cancelled, so machines that may hold tasks of
        // cancelled jobs only get the time that a worker needs to find this leader and to send it
        // one heartbeat.
        if (context.now - reachableSince >= HEARTBEAT_FAILOVER_TIME + timeouts.overdue) {
            decommissionCancelled(unconfirmed, unknownIds)
        }
        if (context.now - electedAt < firstHeartbeatTimeout(unconfirmed.size + unknownIds.size))
            return
        for (machine in unconfirmed) {
            decommissioner.decommission(machine, DecommissionReason.NEVER_REPORTED)
        }
        for (id in unknownIds) decommissionUnknown(id)
    }

    /** Decommissions the machines that may hold tasks of cancelled jobs. */
    private fun decommissionCancelled(unconfirmed: List<Machine>, unknownIds: List<MachineId>) {
        for (machine in unconfirmed) {
            if (!machine.holdsCancelled) continue
            decommissioner.decommission(machine, DecommissionReason.CANCELLED_TASKS_UNREPORTED)
        }
        for (id in unknownIds) if (cluster.unknownMachines.holdsCancelled(id))
            decommissionUnknown(id)
    }

    /**
     * Returns how long after the election machines may take to send their first heartbeat, if
     * [silentCount] of them have not sent one. If at least twice as many machines have found this
     * leader, the others are not silent because of the change of leader, so they get less time.
     * They still get at least the duration of a lease. A machine that returns before its lease
     * expires has kept its tasks running, and that is worth more than the time for which the tasks
     * of a lost machine wait to be placed again.
     */
    private fun firstHeartbeatTimeout(silentCount: Int): Micros {
        val isMinority = silentCount * 2 <= cluster.machines.values.count { it.isUp }
        return if (isMinority)
            maxOf(workers.leaseS.seconds, timeouts.lost) + HEARTBEAT_FAILOVER_TIME
        else longFirstHeartbeatTimeout
    }

    /**
     * Decommissions machines that sent a heartbeat under an older fencing token and then did not
     * adopt this leader's token in time. The heartbeat may be a delayed one of a machine that was
     * deleted long ago.
     */
    private fun decommissionStale() {
        for (machine in cluster.machines.values) {
            val since = machine.firstStaleHeartbeatAt ?: continue
            if (machine.isUp || machine.isDecommissioned) continue
            if (context.now - since < longFirstHeartbeatTimeout) continue
            decommissioner.decommission(machine, DecommissionReason.TOKEN_NEVER_ADOPTED)
        }
    }

    /**
     * Decommissions the machines that are listed as running and have not sent a first heartbeat in
     * time. If there are many, a network fault is more likely than faults of the machines: they do
     * not count as capacity meanwhile, and get twice the time.
     */
    private fun decommissionListed() {
        val overdue =
            cluster.machines.values.filter {
                !it.isUp &&
                    !it.isDecommissioned &&
                    it.placements.isEmpty() &&
                    listedFor(it) > longFirstHeartbeatTimeout
            }
        val up = cluster.machines.values.count { it.isUp }
        val mayDecommissionAll = BulkLimit.DEFAULT.allows(overdue.size, up)
        for (machine in overdue) {
            machine.hasOverdueFirstHeartbeat = true
            val isLongOverdue = listedFor(machine) > longFirstHeartbeatTimeout * 2.0
            if (mayDecommissionAll || isLongOverdue)
                decommissioner.decommission(machine, DecommissionReason.NEVER_REPORTED)
        }
    }

    /** For how long the cloud has listed [machine] as running, as far as this leader knows. */
    private fun listedFor(machine: Machine): Micros =
        context.now - (machine.listedRunningSince ?: context.now)

    /** Decommissions the machine with this [id], which is known only from stored records. */
    private fun decommissionUnknown(id: MachineId) {
        val machine = registry.findOrAddRecorded(id) ?: return
        decommissioner.decommission(machine, DecommissionReason.NEVER_REPORTED)
    }

    private companion object {
        /**
         * How long a worker waits for a response to its heartbeat before it tries another
         * controller.
         */
        val HEARTBEAT_FAILOVER_TIME = 5.seconds
    }
}
