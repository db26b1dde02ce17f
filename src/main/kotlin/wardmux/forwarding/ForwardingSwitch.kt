package wardmux.forwarding

import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Decides whether followers answer workers too. When a leader is new they do, so that it is not
 * overloaded by all workers at once; they go on if there are more than it can serve by itself.
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

    /** It was decided once whether followers go on. */
    private var hasDecided = false

    /** Whether followers answer workers too. */
    var isEnabled = hasPeers
        private set

    /** Decides anew; [isLoaded] says whether this leader knows what is stored. */
    fun update(isLoaded: Boolean) {
        if (!hasPeers) return
        val machineCount = cluster.machines.values.count { !it.isDecommissioned }
        val exceedsLeaderCapacity = exceedsLeaderCapacity(machineCount)
        if (exceedsLeaderCapacity && !isEnabled) {
            log.info("{} machines: followers forward heartbeats", machineCount)
            isEnabled = true
        }
        // Only once, when all machines have sent a heartbeat: else it would go back and forth.
        val settlingTime = (workers.heartbeatPeriodS * SETTLING_HEARTBEAT_PERIODS).seconds
        if (hasDecided || !isLoaded || context.now - electedAt <= settlingTime) return
        hasDecided = true
        if (!exceedsLeaderCapacity) {
            log.info("{} machines: the leader answers all heartbeats", machineCount)
            isEnabled = false
        }
    }

    private fun exceedsLeaderCapacity(machineCount: Int): Boolean {
        val heartbeatsPerSecond = machineCount / workers.heartbeatPeriodS
        return heartbeatsPerSecond > operators.heartbeatsPerCore * limits.cpu ||
            machineCount > limits.fdLimit * WORKER_SOCKET_SHARE
    }

    private companion object {
        /** In periods of the workers' heartbeats. */
        const val SETTLING_HEARTBEAT_PERIODS = 1.5

        /** Of all sockets; the rest is for users, peers, direct commands and other services. */
        const val WORKER_SOCKET_SHARE = 0.5
    }
}
