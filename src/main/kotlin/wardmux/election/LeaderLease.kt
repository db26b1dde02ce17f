package wardmux.election

import wardmux.core.CoreContext
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.store.KeyValueStore
import wardmux.store.StoreResult

/**
 * The lease with which this controller leads: its renewal, and the time until which it cannot
 * expire. The duration counts from the time when the request was sent, so that the lease ends for
 * this controller before it ends in the key-value store.
 */
class LeaderLease(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val duration: Micros,
    private val listener: Listener,
) {
    /** Receives the expiry of a lease that this controller held. */
    fun interface Listener {
        /** Called when the key-value store no longer knows the lease of [leader]. */
        fun expired(leader: Role.Leader)
    }

    /** The role that holds the lease, or null while this controller does not lead. */
    private var holder: Role.Leader? = null
    private var validUntil = Micros.LONG_AGO
    private var acquiredAt = Micros.LONG_AGO
    private var nextRenewalAt = Micros.ZERO
    private var isRenewing = false

    /** Whether a lease is held and cannot have expired yet. */
    val isValid: Boolean
        get() = holder != null && context.now < validUntil

    /**
     * The time since which the held lease may have expired, or null if it is valid or none is held.
     */
    val uncertainSince: Micros?
        get() = if (holder != null && !isValid) maxOf(validUntil, acquiredAt) else null

    /** Starts to hold the lease of [leader]. The request for the lease was sent at [sentAt]. */
    fun acquire(leader: Role.Leader, sentAt: Micros) {
        holder = leader
        acquiredAt = context.now
        extend(sentAt)
        isRenewing = false
    }

    /** Treats the lease as possibly expired until its renewal, which the next tick requests. */
    fun requireRenewalBeforeUse() {
        validUntil = Micros.LONG_AGO
        nextRenewalAt = context.now
    }

    /** Stops holding the lease. Does not revoke it in the key-value store. */
    fun release() {
        holder = null
        validUntil = Micros.LONG_AGO
    }

    /** Renews the lease if its renewal is due. */
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
        /** The share of its duration after which the lease is renewed. */
        const val RENEWAL_SHARE_OF_DURATION = 0.3
        /** The time before its possible expiry from which the lease no longer counts as valid. */
        val LEASE_EXPIRY_MARGIN = 100.milliseconds
        val RETRY_PERIOD = 300.milliseconds
    }
}
