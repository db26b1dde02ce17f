package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Who was granted time to answer workers in this term, and until when: what a follower may still
 * have answered bounds how long the lease of a machine may last.
 */
class ForwardingGrants(
    private val context: CoreContext,
    /** How long a follower may answer workers without a response from the leader. */
    private val grantDuration: Micros,
    /** How long a forwarder is kept after its grant and its last batch. */
    private val forwarderRetention: Micros,
) {
    private val log = logger<ForwardingGrants>()
    private val forwarders = ArrayList<Forwarder>()

    /**
     * The forwarder that [batch] comes from. One of a former process of the member is another, and
     * stays: workers may still act on what it answered.
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
        log.info("{} forwards heartbeats", batch.member)
        return Forwarder(batch.member, batch.processIncarnation).also { forwarders.add(it) }
    }

    /** Grants [forwarder] the usual time from now on, by the slowest clock that it may have. */
    fun extend(forwarder: Forwarder) =
        forwarder.extendGrant(context.now + grantDuration * (1 + MAX_CLOCK_DRIFT))

    /**
     * The latest that the lease of a machine last known to be renewed at [renewedAt] may have been
     * renewed. A forwarder that has reported all that it answered until that lease would have
     * expired, [leaseDuration] later, has not renewed it; any other may have, while its grant was
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

    /** The forwarders that answer workers now. */
    fun activeForwarders(): List<Forwarder> =
        forwarders.filter {
            context.now < it.grantValidUntil && context.now - it.lastBatchAt < MAX_ACTIVE_BATCH_AGE
        }

    /** Removes forwarders that no lease depends on any more. */
    fun removeExpired() {
        val expiryTime = context.now - forwarderRetention
        forwarders.removeIf { it.grantValidUntil < expiryTime && it.lastBatchAt < expiryTime }
    }

    private companion object {
        val MAX_ACTIVE_BATCH_AGE = 3.seconds
    }
}
