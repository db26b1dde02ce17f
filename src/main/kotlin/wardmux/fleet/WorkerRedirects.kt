package wardmux.fleet

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Distributes the workers' heartbeats over the controllers. */
fun interface WorkerRebalancing {
    /**
     * Returns the controller to which the next worker that is answered has to switch, or null if it
     * stays with this one.
     */
    fun nextTarget(): String?
}

/** Decides which workers are redirected to another controller. */
class WorkerRedirects(
    private val context: CoreContext,
    private val leadership: LeaderElection,
    private val workers: WorkerTiming,
    private val rebalancing: WorkerRebalancing,
) {
    /**
     * Whether this leader and its forwarders redirect workers, so that they find the current
     * leader. This is the case once the leader has been uncertain of its lease for
     * [MIN_LEASE_UNCERTAINTY].
     */
    val areActive: Boolean
        get() =
            leadership.leaseUncertainSince?.let { context.now - it >= MIN_LEASE_UNCERTAINTY } ==
                true

    /**
     * Returns whether the worker of [machine] has to ask another controller who leads, and if so
     * records the redirect, so that the worker is not redirected again for [pause].
     *
     * A leader that has been uncertain of its lease for some time may be cut off by a network
     * partition from everything but its workers, and its successor cannot reach them then. If only
     * the key-value store is down, the other controllers name this leader, and the worker returns.
     */
    fun redirectIfDue(machine: Machine): Boolean {
        if (!areActive || context.now - machine.lastRedirectAt < pause(workers)) return false
        machine.lastRedirectAt = context.now
        return true
    }

    /**
     * Returns the controller to which a worker has to switch so that the heartbeats are evenly
     * distributed, or null if it stays with this one.
     */
    fun rebalancingTarget(): String? = rebalancing.nextTarget()

    companion object {
        private val MIN_LEASE_UNCERTAINTY = 2.seconds
        private const val REDIRECT_PAUSE_LEASE_SHARE = 0.5

        /** Returns how long a worker is not redirected again after a redirect. */
        fun pause(workers: WorkerTiming): Micros =
            workers.leaseS.seconds * REDIRECT_PAUSE_LEASE_SHARE
    }
}
