package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** How long a follower may answer heartbeats without hearing from the leader. */
object ForwardingGrant {
    private const val GRANT_SHARE_OF_LEASE = 0.33
    private val MAX_GRANT_DURATION = 8.seconds
    private val MIN_GRANT_DURATION = 500.milliseconds

    /** The duration of a grant for workers with these lease times. */
    fun duration(workers: WorkerTiming): Micros =
        minOf(workers.leaseS.seconds * GRANT_SHARE_OF_LEASE, MAX_GRANT_DURATION)
            .coerceAtLeast(MIN_GRANT_DURATION)
}
