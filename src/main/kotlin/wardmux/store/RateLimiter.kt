package wardmux.store

import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.model.Micros

/** Token buckets for this controller's share of the store's limits on requests and writes. */
class RateLimiter(
    private val context: CoreContext,
    private val limits: StoreLimits,
    private val controllers: Int,
) {
    private var requestTokens = 0.0
    private var writeTokens = 0.0
    private var refilledAt: Micros? = null

    /** Whether this controller leads, and so has the leader's share. */
    var isLeading = false

    /** Whether one more request may be sent now. */
    val allowsRequest: Boolean
        get() = requestTokens >= 1

    /** Writes that this controller could make now and still have half of its burst left. */
    val spareWrites: Int
        get() = (writeTokens - writeBurst() / 2).toInt()

    /** Whether a request with so many [writes] may be sent now. */
    fun allowsWrites(writes: Int) = writeTokens >= writes

    /** Counts a request that is sent; one for a lease is sent also where nothing is left. */
    fun spend(writes: Int) {
        requestTokens -= 1
        writeTokens -= writes
    }

    /** Adds what the time since the last call allows, up to the burst. */
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

    /** A whole transaction must fit, or it would wait for ever; only a leader's are large. */
    private fun writeBurst() =
        maxOf(
            writeRate(),
            if (isLeading) limits.txnOps.toDouble()
            else maxOf(limits.writeRps * FOLLOWER_BURST_S, MIN_FOLLOWER_BURST),
        )

    private companion object {
        /** Of all requests; most are users' polls, which every controller answers. */
        const val LEADER_REQUEST_SHARE = 0.3

        /** Of all writes; the leader records every placement. */
        const val LEADER_WRITE_SHARE = 0.6

        /**
         * A follower may save up the writes that all controllers together may make in this time:
         * users come in bunches. Where several bunches meet, the store rejects what is too much,
         * and it is sent again.
         */
        const val FOLLOWER_BURST_S = 0.33

        /** The writes of one cancellation, which must fit however low the rate. */
        const val MIN_FOLLOWER_BURST = 3.0

        /** Of the limits; the rest is a safety margin. */
        const val USABLE_SHARE = 0.95
    }
}
