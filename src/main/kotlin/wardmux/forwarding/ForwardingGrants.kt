package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * The followers that were granted time to answer workers in this term of the leader, with the end
 * of each grant. The leader needs them because a follower may have renewed the lease of a machine
 * in a response that it has not reported yet.
 */
class ForwardingGrants(
    private val context: CoreContext,
    /** How long a follower may answer workers without a response from the leader. */
    private val grantDuration: Micros,
    /** How long a forwarder is kept after the end of its grant and after its last batch. */
    private val forwarderRetention: Micros,
) {
    private val log = logger<ForwardingGrants>()
    private val forwarders = ArrayList<Forwarder>()

    /**
     * Returns the forwarder that sent [batch], adding it if it is new, and records the batch. A
     * restarted follower is a new forwarder; the record of its previous process is kept because
     * leases that the previous process renewed may still be valid.
     */
    fun forwarderOf(batch: HeartbeatBatch): Forwarder {
        val forwarder =
            forwarders.find {
                it.member == batch.member && it.processIncarnation == batch.processIncarnation
            } ?: add(batch)
        forwarder.recordBatch(context.now)
        return forwarder
    }

    private fun add(batch: HeartbeatBatch): Forwarder {
        log.info("follower {} started forwarding heartbeats", batch.member)
        return Forwarder(batch.member, batch.processIncarnation).also { forwarders.add(it) }
    }

    /**
     * Extends the grant of [forwarder] to [grantDuration] from now, plus the time by which the
     * grant lasts longer if the forwarder's clock runs slow.
     */
    fun extend(forwarder: Forwarder) =
        forwarder.extendGrant(context.now + grantDuration * (1 + MAX_CLOCK_DRIFT))

    /**
     * The latest time at which the lease of a machine may have been renewed, given that its last
     * known renewal was at [renewedAt] and that a lease lasts [leaseDuration].
     *
     * A forwarder that has reported every heartbeat it answered up to the expiry of that lease has
     * not renewed it. Any other forwarder may have renewed it at any time while its grant was
     * valid.
     */
    fun latestPossibleRenewal(renewedAt: Micros, leaseDuration: Micros): Micros {
        var latest = renewedAt
        for (forwarder in forwarders) {
            if (forwarder.reportedUntil >= renewedAt + leaseDuration) continue
            latest = maxOf(latest, minOf(forwarder.grantValidUntil, context.now))
        }
        return latest
    }

    /** The forwarders that have a valid grant and have sent a batch recently. */
    fun activeForwarders(): List<Forwarder> =
        forwarders.filter {
            context.now < it.grantValidUntil && context.now - it.lastBatchAt < MAX_ACTIVE_BATCH_AGE
        }

    /** Removes forwarders whose responses no valid lease can depend on. */
    fun removeExpired() {
        val expiryTime = context.now - forwarderRetention
        forwarders.removeIf { it.grantValidUntil < expiryTime && it.lastBatchAt < expiryTime }
    }

    private companion object {
        /** The age of the last batch from which a forwarder no longer counts as active. */
        val MAX_ACTIVE_BATCH_AGE = 3.seconds
    }
}
