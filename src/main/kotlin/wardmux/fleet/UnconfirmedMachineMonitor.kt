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
 * Decommissions machines with placements that never sent a heartbeat under this leader's token. An
 * earlier leader may keep their leases alive, so only their deletion proves that nothing runs.
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
    private val longFirstHeartbeatTimeout = workers.leaseS.seconds + timeouts.lost

    /** Decommissions what is due; workers could reach this leader since [reachableSince]. */
    fun check(reachableSince: Micros) {
        if (!cancellations.isLoaded) return
        decommissionStale()
        val unconfirmed =
            cluster.machines.values.filter {
                !it.isUp && !it.isDecommissioned && it.placements.isNotEmpty()
            }
        val unknownIds = cluster.unknownMachines.machines.toList()
        // How long ago the cancellation was is not known, so these get one heartbeat's time.
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

    private fun decommissionCancelled(unconfirmed: List<Machine>, unknownIds: List<MachineId>) {
        for (machine in unconfirmed) {
            if (!machine.holdsCancelled) continue
            decommissioner.decommission(machine, DecommissionReason.CANCELLED_TASKS_UNREPORTED)
        }
        for (id in unknownIds) if (cluster.unknownMachines.holdsCancelled(id))
            decommissionUnknown(id)
    }

    /**
     * How long after the election machines may be silent, if there are [silentCount] of them. Where
     * most have found this leader, the others are not silent because of it. But until a lease is
     * over, a machine that comes back is worth more than its tasks' time.
     */
    private fun firstHeartbeatTimeout(silentCount: Int): Micros {
        val isMinority = silentCount * 2 <= cluster.machines.values.count { it.isUp }
        return if (isMinority)
            maxOf(workers.leaseS.seconds, timeouts.lost) + HEARTBEAT_FAILOVER_TIME
        else longFirstHeartbeatTimeout
    }

    /** A machine known only by a heartbeat under an older token may have been deleted long ago. */
    private fun decommissionStale() {
        for (machine in cluster.machines.values) {
            val since = machine.firstStaleHeartbeatAt ?: continue
            if (machine.isUp || machine.isDecommissioned) continue
            if (context.now - since < longFirstHeartbeatTimeout) continue
            decommissioner.decommission(machine, DecommissionReason.TOKEN_NEVER_ADOPTED)
        }
    }

    /** One that is known only from records. */
    private fun decommissionUnknown(id: MachineId) {
        val machine = registry.findOrAddRecorded(id) ?: return
        decommissioner.decommission(machine, DecommissionReason.NEVER_REPORTED)
    }

    private companion object {
        /** How long a worker waits for a response, and until it tries the next controller. */
        val HEARTBEAT_FAILOVER_TIME = 5.seconds
    }
}
