package wardmux.store

import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.model.Micros

/**
 * Token buckets for this controller's share of the state service's limits on requests and changes.
 */
class RateLimiter(
    private val context: CoreContext,
    private val deployment: StoreLimits,
    private val nodes: Int,
) {
    private var requestTokens = 0.0
    private var writeTokens = 0.0
    private var refilledAt: Micros? = null

    /** This controller leads: it has the leader's share. */
    var leading = false

    /** One more request may be sent now. */
    val allowsRequest: Boolean
        get() = requestTokens >= 1

    /** Changes that this controller could make now and still have half of its burst left. */
    val spareWrites: Int
        get() = (writeTokens - writeBurst() / 2).toInt()

    /** So many changes may be sent now. */
    fun allowsWrites(writes: Int) = writeTokens >= writes

    /** Counts a request that is sent; a lease's is sent also where nothing is left. */
    fun spend(writes: Int) {
        requestTokens -= 1
        writeTokens -= writes
    }

    /** Adds what the time since the last call allows, up to the burst. */
    fun refill() {
        val rate = deployment.rps * share(LEADERS_REQUESTS) * MARGIN
        val elapsed = refilledAt?.let { (context.now - it).inSeconds } ?: 1.0
        refilledAt = context.now
        requestTokens = (requestTokens + elapsed * rate).coerceAtMost(rate)
        writeTokens = (writeTokens + elapsed * writeRate()).coerceAtMost(writeBurst())
    }

    private fun share(leaders: Double): Double =
        when {
            nodes <= 1 -> 1.0
            leading -> leaders
            else -> (1 - leaders) / (nodes - 1)
        }

    private fun writeRate() = deployment.writeRps * share(LEADERS_WRITES) * MARGIN

    /** A whole transaction must fit, or it would wait for ever; only a leader's are large. */
    private fun writeBurst() =
        maxOf(
            writeRate(),
            if (leading) deployment.txnOps.toDouble()
            else maxOf(deployment.writeRps * USERS_BURST, USERS_CHANGES),
        )

    private companion object {
        const val LEADERS_REQUESTS = 0.3
        const val LEADERS_WRITES = 0.6

        /**
         * Users come in bunches: what a follower may save up, as a part of what all may do in a
         * second. Where several bunches meet, the service refuses and they are sent again.
         */
        const val USERS_BURST = 0.33

        /** What a cancellation takes, however low the rate. */
        const val USERS_CHANGES = 3.0
        const val MARGIN = 0.95
    }
}
