package wardmux.leader

import wardmux.election.LeaderElection
import wardmux.fleet.CommandReachability
import wardmux.fleet.MachineHealthMonitor
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Decides whether another controller is better placed to lead: this one has its lease, but does not
 * reach the workers.
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

    /** Not before workers had the time of one lease to find this leader. */
    private var nextCheckAt = context.now + services.operators.leaderLeaseS.seconds

    /** Gives up leadership if it should go to another controller; true if it did. */
    fun resignIfCutOff(): Boolean {
        if (!canHandOver || context.now < nextCheckAt) return false
        nextCheckAt = context.now + CHECK_PERIOD
        val reason = resignationReason() ?: return false
        leadership.resign(reason)
        return true
    }

    /**
     * While the key-value store does not answer, nobody can take the lease: to give it up then
     * would leave all workers without a leader until their leases end.
     */
    private val canHandOver: Boolean
        get() = leadership.leaseIsValid && store.unavailableSince == null

    private fun resignationReason(): String? =
        when {
            !peerHeartbeats.isAnyPeerAlive() -> null
            healthMonitor.areMostSilent() -> "most machines are silent"
            reachability.isCutOff -> "commands reach no machine"
            else -> null
        }

    private companion object {
        val CHECK_PERIOD = 400.milliseconds
    }
}
