package wardmux.lease

import wardmux.config.WorkerFacts
import wardmux.model.Micros
import wardmux.model.millis
import wardmux.model.secs

/** How long a follower may answer heartbeats without hearing from the leader. */
object ForwardingGrant {
    private const val SHARE_OF_LEASE = 0.33
    private val MAX_DURATION = 8.secs
    private val MIN_DURATION = 500.millis

    /** The duration of a grant for workers with these lease times. */
    fun duration(workers: WorkerFacts): Micros =
        minOf(workers.leaseS.secs * SHARE_OF_LEASE, MAX_DURATION).coerceAtLeast(MIN_DURATION)
}
