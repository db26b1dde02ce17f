package wardmux.forwarding

import wardmux.scheduling.ClusterState

/**
 * Balances workers across controllers. In small steps, it has controllers with too many workers
 * redirect some of them to the follower with the fewest. The leader gets a smaller share than a
 * follower, because it also makes the scheduling decisions for the whole cluster.
 */
class WorkerRebalancer(
    private val cluster: ClusterState,
    /** The member name of this controller, which is the leader. */
    private val member: String,
    /** The maximum number of workers that may be connected to one controller. */
    private val maxWorkers: Int,
) {
    /** How many workers of this controller are still to be redirected to [redirectTarget]. */
    private var redirectCount = 0
    private var redirectTarget: String? = null

    /** Stops redirecting workers of this controller. */
    fun stop() {
        redirectCount = 0
    }

    /** Sets how many workers this controller and each of [followers] redirect in this step. */
    fun rebalance(followers: List<Forwarder>) {
        if (followers.isEmpty()) return
        val workers = workersByMember()
        val leaderWeight = 1.0 / (followers.size + 1)
        val totalWorkers = followers.sumOf { workers[it.member] ?: 0 } + (workers[member] ?: 0)
        // A share larger than the number of sockets would be pointless: workers that can't connect
        // to the target would come back and be redirected again.
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

    /** The number of workers that each controller answers, by member. */
    private fun workersByMember(): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            if (machine.isUp && !machine.isDecommissioned)
                counts.merge(machine.forwardedBy ?: member, 1, Int::plus)
        }
        return counts
    }

    /**
     * The member to which the next worker of this controller is redirected, or null if the worker
     * is to be answered. Each non-null result counts as one redirected worker.
     */
    fun takeRedirectTarget(): String? {
        if (redirectCount <= 0) return null
        redirectCount--
        return redirectTarget
    }

    private companion object {
        /**
         * One step redirects at most all workers divided by this number, but may always redirect
         * one worker.
         */
        const val MIN_STEPS_TO_REDIRECT_ALL = 100

        /**
         * A controller redirects workers only in excess of its share times this factor plus
         * [TOLERATED_EXCESS_WORKERS].
         */
        const val SHARE_TOLERANCE_FACTOR = 1.2
        const val TOLERATED_EXCESS_WORKERS = 3

        /**
         * The largest share of a controller's sockets for workers that balancing aims to use. The
         * rest is needed for workers that connect and disconnect.
         */
        const val MAX_SOCKET_USE_SHARE = 0.95
    }
}
