package wardmux.store

import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.model.Micros

/**
 * Token buckets for this controller's share of the key-value store's rate limits, one for requests
 * and one for writes.
 */
class RateLimiter(
    private val context: CoreContext,
    private val limits: StoreLimits,
    private val controllers: Int,
) {
    private var requestTokens = 0.0
    private var writeTokens = 0.0
    private var refilledAt: Micros? = null

    /** True if this controller is the leader and therefore has the leader's share. */
    var isLeading = false

    /** True if one more request may be sent now. */
    val allowsRequest: Boolean
        get() = requestTokens >= 1

    /** The number of writes this controller can make now and still keep half of its burst. */
    val spareWrites: Int
        get() = (writeTokens - writeBurst() / 2).toInt()

    /** Returns true if the write limit allows a request with [writes] writes now. */
    fun allowsWrites(writes: Int) = writeTokens >= writes

    /**
     * Takes the tokens of a request that is sent. The number of tokens may become negative, because
     * requests for leases are sent even if none are left.
     */
    fun spend(writes: Int) {
        requestTokens -= 1
        writeTokens -= writes
    }

    /** Adds the tokens for the time since the last call, up to the burst sizes. */
    fun refill() {
        val rate = limits.rps * shareOfController(LEADER_REQUEST_SHARE) * USABLE_SHARE
        val elapsed = refilledAt?.let { (context.now - it).inSeconds } ?: 1.0
        refilledAt = context.now
        requestTokens = (requestTokens + elapsed * rate).coerceAtMost(rate)
        writeTokens = (writeTokens + elapsed * writeRate()).coerceAtMost(writeBurst())
    }

    private fun shareOfController(leaderShare: Double): Double =
        when {
            controllers <= 1 -> 1.0
            isLeading -> leaderShare
            else -> (1 - leaderShare) / (controllers - 1)
        }

    private fun writeRate() = limits.writeRps * shareOfController(LEADER_WRITE_SHARE) * USABLE_SHARE

    /**
     * The maximum number of write tokens. The burst of a leader has to allow the largest
     * transaction, which would otherwise never be sent. Transactions of followers are small.
     */
    private fun writeBurst() =
        maxOf(
            writeRate(),
            if (isLeading) limits.txnOps.toDouble()
            else maxOf(limits.writeRps * FOLLOWER_BURST_S, MIN_FOLLOWER_BURST),
        )

    private companion object {
        /**
         * The leader's share of the request limit. It is not larger because most requests result
         * from users' polls, which every controller answers.
         */
        const val LEADER_REQUEST_SHARE = 0.3

        /**
         * The leader's share of the write limit. It is large because only the leader records
         * placements.
         */
        const val LEADER_WRITE_SHARE = 0.6

        /**
         * The time in seconds that determines a follower's burst: the number of writes that all
         * controllers together may make within it. Users submit jobs in bursts. If bursts at
         * several controllers coincide, the store rejects the excess requests, which are then sent
         * again.
         */
        const val FOLLOWER_BURST_S = 0.33

        /** The number of writes of one cancellation, which has to be possible at any rate limit. */
        const val MIN_FOLLOWER_BURST = 3.0

        /** The share of the limits that is used; the rest is a safety margin. */
        const val USABLE_SHARE = 0.95
    }
}
