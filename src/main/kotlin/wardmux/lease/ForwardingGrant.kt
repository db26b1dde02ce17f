package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * The leader's permission for a follower to answer worker heartbeats, which lasts for a limited
 * time after the follower last heard from the leader.
 */
object ForwardingGrant {
    private const val GRANT_SHARE_OF_LEASE = 0.33
    private val MAX_GRANT_DURATION = 8.seconds
    private val MIN_GRANT_DURATION = 500.milliseconds

    /** The duration of a grant, given the lease duration in [workers]. */
    fun duration(workers: WorkerTiming): Micros =
        minOf(workers.leaseS.seconds * GRANT_SHARE_OF_LEASE, MAX_GRANT_DURATION)
            .coerceAtLeast(MIN_GRANT_DURATION)
}
