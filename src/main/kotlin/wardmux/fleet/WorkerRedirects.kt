package wardmux.fleet

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Spreads the workers' heartbeats over the controllers. */
fun interface WorkerRebalancing {
    /** Where the worker that is answered next is to go, or null if it stays. */
    fun nextTarget(): String?
}

/** Decides which workers are sent to another controller. */
class WorkerRedirects(
    private val context: CoreContext,
    private val leadership: LeaderElection,
    private val workers: WorkerTiming,
    private val rebalancing: WorkerRebalancing,
) {
    /** Whether workers are redirected by this leader and by its forwarders, to whoever leads. */
    val areActive: Boolean
        get() =
            leadership.leaseUncertainSince?.let { context.now - it >= MIN_LEASE_UNCERTAINTY } ==
                true

    /**
     * Whether [machine] is to ask any other controller who leads, which is not asked of it again
     * for a while. A leader that has been uncertain of its lease for some time may be cut off from
     * all but its workers, and its successor can't reach them then. In a mere outage of the
     * key-value store the others name this leader, and the worker comes back.
     */
    fun redirectIfDue(machine: Machine): Boolean {
        if (!areActive || context.now - machine.lastRedirectAt < pause(workers)) return false
        machine.lastRedirectAt = context.now
        return true
    }

    /** The controller that a worker is to go to, so that all have their share; null if it stays. */
    fun rebalancingTarget(): String? = rebalancing.nextTarget()

    companion object {
        private val MIN_LEASE_UNCERTAINTY = 2.seconds
        private const val REDIRECT_PAUSE_LEASE_SHARE = 0.5

        /** How long a worker is not redirected again. */
        fun pause(workers: WorkerTiming): Micros =
            workers.leaseS.seconds * REDIRECT_PAUSE_LEASE_SHARE
    }
}
