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
    /** How many workers of this controller are to be redirected to [redirectTarget]. */
    private var redirectCount = 0
    private var redirectTarget: String? = null

    /** Stops redirecting workers of this controller. */
    fun stop() {
        redirectCount = 0
    }

    /** Sets how many workers this controller and each of [followers] redirect. */
    fun rebalance(followers: List<Forwarder>) {
        if (followers.isEmpty()) return
        val workers = workersByMember()
        val leaderWeight = 1.0 / (followers.size + 1)
        val totalWorkers = followers.sumOf { workers[it.member] ?: 0 } + (workers[member] ?: 0)
        // Not more than there are sockets: the others would come back, and be redirected again.
        val fairShare =
            minOf(totalWorkers / (followers.size + leaderWeight), maxWorkers * MAX_SOCKET_USE_SHARE)
        val leastLoaded = followers.minBy { workers[it.member] ?: 0 }
        val spareCapacity = (fairShare - (workers[leastLoaded.member] ?: 0)).toInt()
        var remainingInStep =
            minOf(spareCapacity, maxOf(1, totalWorkers / MIN_STEPS_TO_REDIRECT_ALL))
        fun takeExcess(workerCount: Int, share: Double): Int {
            val excess = workerCount - share * SHARE_TOLERANCE_FACTOR - TOLERATED_EXCESS_WORKERS
            val count = minOf(remainingInStep, excess.toInt()).coerceAtLeast(0)
            remainingInStep -= count
            return count
        }
        redirectCount = takeExcess(workers[member] ?: 0, fairShare * leaderWeight)
        redirectTarget = leastLoaded.member
        for (forwarder in followers) {
            val moved =
                if (forwarder === leastLoaded) 0
                else takeExcess(workers[forwarder.member] ?: 0, fairShare)
            forwarder.assignRebalancing(moved, leastLoaded.member)
        }
    }

    /** How many machines' workers each controller answers. */
    private fun workersByMember(): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            if (machine.isUp && !machine.isDecommissioned)
                counts.merge(machine.forwardedBy ?: member, 1, Int::plus)
        }
        return counts
    }

    /** The member to redirect a worker of this controller to, or null to answer it. */
    fun takeRedirectTarget(): String? {
        if (redirectCount <= 0) return null
        redirectCount--
        return redirectTarget
    }

    private companion object {
        /** At most this part of all workers, and at least one, is redirected in one step. */
        const val MIN_STEPS_TO_REDIRECT_ALL = 100

        /** A controller keeps its share times this, and some machines more. */
        const val SHARE_TOLERANCE_FACTOR = 1.2
        const val TOLERATED_EXCESS_WORKERS = 3

        /** Of a controller's sockets for workers; the rest is for those that come and go. */
        const val MAX_SOCKET_USE_SHARE = 0.95
    }
}
