package wardmux.election

import wardmux.core.CoreContext
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.store.KeyValueStore
import wardmux.store.StoreResult

/**
 * The lease that this controller leads with: how long it surely runs, and its renewal. All times
 * count from before a request was sent, so that the lease ends here before it ends in the store.
 */
class LeaderLease(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val duration: Micros,
    private val listener: Listener,
) {
    /** Is told of the end of a lease that was held. */
    fun interface Listener {
        /** The key-value store no longer knows the lease of [leader]. */
        fun expired(leader: Role.Leader)
    }

    /** Who holds the lease; null while this controller does not lead. */
    private var holder: Role.Leader? = null
    private var validUntil = Micros.LONG_AGO
    private var acquiredAt = Micros.LONG_AGO
    private var nextRenewalAt = Micros.ZERO
    private var isRenewing = false

    /** The lease surely runs. */
    val isValid: Boolean
        get() = holder != null && context.now < validUntil

    /** Since when a lease that is held may have ended; null if it surely runs, or none is held. */
    val uncertainSince: Micros?
        get() = if (holder != null && !isValid) maxOf(validUntil, acquiredAt) else null

    /** Begins to hold the lease of [leader], which was asked for at [sentAt]. */
    fun acquire(leader: Role.Leader, sentAt: Micros) {
        holder = leader
        acquiredAt = context.now
        extend(sentAt)
        isRenewing = false
    }

    /** Holds the lease as uncertain until it is renewed, at the next tick. */
    fun requireRenewalBeforeUse() {
        validUntil = Micros.LONG_AGO
        nextRenewalAt = context.now
    }

    /** Holds the lease no longer. */
    fun release() {
        holder = null
        validUntil = Micros.LONG_AGO
    }

    /** Renews a lease that is due. */
    fun tick() {
        val leader = holder ?: return
        if (!isRenewing && context.now >= nextRenewalAt) renew(leader)
    }

    private fun renew(leader: Role.Leader) {
        isRenewing = true
        val sentAt = context.now
        store.renewLease(leader.lease) { result ->
            if (holder != leader) return@renewLease
            isRenewing = false
            when (result) {
                is StoreResult.Ok -> extend(sentAt)
                is StoreResult.NotFound -> listener.expired(leader)
                else -> nextRenewalAt = context.now + RETRY_PERIOD
            }
        }
    }

    private fun extend(sentAt: Micros) {
        validUntil = sentAt + duration * (1 - MAX_CLOCK_DRIFT) - LEASE_EXPIRY_MARGIN
        nextRenewalAt = sentAt + duration * RENEWAL_SHARE_OF_DURATION
    }

    private companion object {
        /** The share of its duration after which a lease is renewed. */
        const val RENEWAL_SHARE_OF_DURATION = 0.3
        val LEASE_EXPIRY_MARGIN = 100.milliseconds
        val RETRY_PERIOD = 300.milliseconds
    }
}
