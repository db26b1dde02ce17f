package wardmux.forwarding

import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Decides whether followers answer workers in addition to the leader. Forwarding is enabled when a
 * leader is elected, so that the leader is not overloaded by all workers at once. It stays enabled
 * if there are more machines than the leader can serve alone.
 */
class ForwardingSwitch(
    private val context: CoreContext,
    private val cluster: ClusterState,
    platform: PlatformConfig,
    private val operators: OperatorSettings,
) {
    private val log = logger<ForwardingSwitch>()
    private val workers = platform.deployment.workers
    private val limits = platform.deployment.limits
    private val hasPeers = platform.peers.isNotEmpty()
    private val electedAt = context.now

    /** Whether the single decision to keep or to disable forwarding has been made. */
    private var hasDecided = false

    /** Whether followers answer workers in addition to the leader. */
    var isEnabled = hasPeers
        private set

    /** Updates the decision. [isLoaded] says whether this leader has loaded the stored state. */
    fun update(isLoaded: Boolean) {
        if (!hasPeers) return
        val machineCount = cluster.machines.values.count { !it.isDecommissioned }
        val exceedsLeaderCapacity = exceedsLeaderCapacity(machineCount)
        if (exceedsLeaderCapacity && !isEnabled) {
            log.info("forwarding enabled: the leader can't serve {} machines alone", machineCount)
            isEnabled = true
        }
        // Forwarding is disabled at most once per term, after all machines have had time to send a
        // heartbeat. Otherwise it could be enabled and disabled repeatedly.
        val settlingTime = (workers.heartbeatPeriodS * SETTLING_HEARTBEAT_PERIODS).seconds
        if (hasDecided || !isLoaded || context.now - electedAt <= settlingTime) return
        hasDecided = true
        if (!exceedsLeaderCapacity) {
            log.info("forwarding disabled: the leader serves {} machines alone", machineCount)
            isEnabled = false
        }
    }

    private fun exceedsLeaderCapacity(machineCount: Int): Boolean {
        val heartbeatsPerSecond = machineCount / workers.heartbeatPeriodS
        return heartbeatsPerSecond > operators.heartbeatsPerCore * limits.cpu ||
            machineCount > limits.fdLimit * WORKER_SOCKET_SHARE
    }

    private companion object {
        /** How long forwarding stays enabled at least after an election, in heartbeat periods. */
        const val SETTLING_HEARTBEAT_PERIODS = 1.5

        /**
         * The share of the leader's file descriptors available for sockets of workers. The rest is
         * needed for users, peers, direct commands and other services.
         */
        const val WORKER_SOCKET_SHARE = 0.5
    }
}
