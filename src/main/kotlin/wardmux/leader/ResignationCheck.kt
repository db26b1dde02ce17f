package wardmux.leader

import wardmux.election.LeaderElection
import wardmux.fleet.CommandReachability
import wardmux.fleet.MachineHealthMonitor
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Checks whether this leader should resign for another controller to lead. It should if it holds
 * its lease but has lost the connection to the workers.
 */
class ResignationCheck(
    services: ControllerServices,
    private val leadership: LeaderElection,
    private val reachability: CommandReachability,
    private val healthMonitor: MachineHealthMonitor,
) {
    private val context = services.context
    private val store = services.store
    private val peerHeartbeats = services.peerHeartbeats

    /**
     * The time of the next check. The first check waits for the duration of one leader lease, so
     * that workers have the time to find this leader.
     */
    private var nextCheckAt = context.now + services.operators.leaderLeaseS.seconds

    /** Resigns if another controller should lead. Returns whether it resigned. */
    fun resignIfCutOff(): Boolean {
        if (!canHandOver || context.now < nextCheckAt) return false
        nextCheckAt = context.now + CHECK_PERIOD
        val reason = resignationReason() ?: return false
        leadership.resign(reason)
        return true
    }

    /**
     * Whether another controller could take over. While the key-value store does not answer, no
     * controller can take the leader lease. Resigning then would leave all workers without a leader
     * until their leases expire.
     */
    private val canHandOver: Boolean
        get() = leadership.leaseIsValid && store.unavailableSince == null

    /** The reason to resign, or null if there is none or no peer is alive to take over. */
    private fun resignationReason(): String? =
        when {
            !peerHeartbeats.isAnyPeerAlive() -> null
            healthMonitor.areMostSilent() -> "most machines send no heartbeats"
            reachability.isCutOff -> "commands reach no machine"
            else -> null
        }

    private companion object {
        val CHECK_PERIOD = 400.milliseconds
    }
}
