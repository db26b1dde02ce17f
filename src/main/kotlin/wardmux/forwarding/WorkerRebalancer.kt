package wardmux.forwarding

import wardmux.scheduling.ClusterState

/**
 * Balances workers over the controllers in small steps, from those with too many to the one with
 * the fewest. The leader, which decides for all, counts for less than a follower.
 */
class WorkerRebalancer(
    private val cluster: ClusterState,
    /** This controller, the leader. */
    private val member: String,
    /** How many workers may be connected to one controller. */
    private val maxWorkers: Int,
) {
    /** How many workers of this controller are to be redirected to [target]. */
    private var count = 0
    private var target: String? = null

    /** Stops redirecting workers of this controller. */
    fun stop() {
        count = 0
    }

    /** Sets how many workers this controller and each of [followers] redirect. */
    fun rebalance(followers: List<Forwarder>) {
        if (followers.isEmpty()) return
        val machines = machinesByMember()
        val leaderWeight = 1.0 / (followers.size + 1)
        val total = followers.sumOf { machines[it.member] ?: 0 } + (machines[member] ?: 0)
        // Not more than there are sockets: the others would come back, and be redirected again.
        val fairShare = minOf(total / (followers.size + leaderWeight), maxWorkers * MAX_FILL)
        val least = followers.minBy { machines[it.member] ?: 0 }
        val room = (fairShare - (machines[least.member] ?: 0)).toInt()
        var remaining = minOf(room, maxOf(1, total / STEPS))
        fun take(machines: Int, target: Double): Int {
            val excess = machines - target * TOLERANCE - TOLERATED_MACHINES
            val taken = minOf(remaining, excess.toInt()).coerceAtLeast(0)
            remaining -= taken
            return taken
        }
        count = take(machines[member] ?: 0, fairShare * leaderWeight)
        target = least.member
        for (forwarder in followers) {
            val moved =
                if (forwarder === least) 0 else take(machines[forwarder.member] ?: 0, fairShare)
            forwarder.assignRebalancing(moved, least.member)
        }
    }

    /** How many machines' workers each controller answers. */
    private fun machinesByMember(): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            if (machine.isUp && !machine.isDecommissioned)
                counts.merge(machine.forwardedBy ?: member, 1, Int::plus)
        }
        return counts
    }

    /** The member to redirect a worker of this controller to, or null to answer it. */
    fun takeRedirect(): String? {
        if (count <= 0) return null
        count--
        return target
    }

    private companion object {
        /** At most this part of all workers, and at least one, is redirected in one step. */
        const val STEPS = 100

        /** A controller keeps its share times this, and some machines more. */
        const val TOLERANCE = 1.2
        const val TOLERATED_MACHINES = 3

        /** Of a controller's sockets for workers; the rest is for those that come and go. */
        const val MAX_FILL = 0.95
    }
}
