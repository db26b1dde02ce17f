package wardmux.peers

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.store.IgnoredValue
import wardmux.store.KeyValueStore

/** Called for every cancellation that becomes known to this process. */
fun interface CancellationListener {
    /** [job] is cancelled, and was not known to be. */
    fun onCancelled(job: JobId)
}

/**
 * Tracks which cancellations users were told of, by any controller, and up to when this process
 * surely knows all of them ([completeUntil]).
 *
 * There are two sources: the key-value store, and the peers, each for what its present process
 * acknowledged. A leader that the store does not answer thus still knows all cancellations, and may
 * go on renewing leases in an outage of the store, in which nobody can cancel anything.
 *
 * What a peer reports is as good as what the store shows: it was recorded first. But a process that
 * ended, or can't be reached, may have acknowledged something that no peer knows.
 */
class CancellationTracker(
    private val context: CoreContext,
    private val store: KeyValueStore,
    processIncarnation: String,
    private val peers: List<String>,
    /** What was cancelled longer ago can't be on a machine any more. */
    private val retention: Micros,
    private val listener: CancellationListener,
) {
    /** A user may have been told of it from [acknowledgedSince] on. */
    private class KnownCancellation(val observedAt: Micros, val acknowledgedSince: Micros)

    /** How much of what a peer's present process acknowledged is known, and up to when. */
    private class PeerProgress(val processIncarnation: String, val startedAt: Micros) {
        var knownCount = 0L
        var completeUntil = Micros.LONG_AGO
    }

    private val log = logger<CancellationTracker>()
    private var startedAt: Micros? = null
    private val acknowledged = AcknowledgedCancellations(context, processIncarnation, retention)
    private val peerProgress = HashMap<String, PeerProgress>()
    private val known = Object2ObjectLinkedOpenHashMap<JobId, KnownCancellation>()

    /** The store has shown all that was recorded before. */
    private var storeReadAsOf = Micros.LONG_AGO
    private var nextScanAt = Micros.LONG_AGO
    private var isScanning = false

    /** Counts the cancellations that became known. */
    var observedCount = 0L
        private set

    /** Whether [job] is known to be cancelled. */
    operator fun contains(job: JobId) = known.containsKey(job)

    /** Records that this process is about to tell a user that [job] is cancelled. */
    fun recordAcknowledged(job: JobId) {
        acknowledged.add(job)
        observe(job)
    }

    /** Records that [job] was cancelled lately, whichever controller told its user. */
    fun observe(job: JobId) {
        // All that was acknowledged before that is known, so this was acknowledged later.
        observe(job, since = completeUntil)
    }

    /** Records that [job] is stored as cancelled, perhaps for very long. */
    fun observeStored(job: JobId) = observe(job, since = Micros.LONG_AGO)

    private fun observe(job: JobId, since: Micros) {
        val previous = known[job]
        val earliest = previous?.acknowledgedSince ?: since
        known.putAndMoveToLast(job, KnownCancellation(context.now, earliest))
        if (previous != null) return
        observedCount++
        listener.onCancelled(job)
    }

    /** The earliest time at which a user may have been told that [job] is cancelled. */
    fun acknowledgedSince(job: JobId): Micros = known[job]?.acknowledgedSince ?: Micros.LONG_AGO

    /** All jobs that are known to be cancelled. */
    fun all(): Set<JobId> = known.keys

    /** Records that the store has shown all cancellations recorded before [time]. */
    fun recordStoreRead(asOf: Micros) {
        storeReadAsOf = maxOf(storeReadAsOf, asOf)
    }

    /** Every cancellation that any user was told of before then is known. */
    val completeUntil: Micros
        get() = maxOf(storeReadAsOf, peersCompleteUntil() ?: storeReadAsOf)

    private fun peersCompleteUntil(): Micros? {
        if (!areAcknowledgementsKnownBefore(startedAt ?: return null)) return null
        var earliest = context.now
        for (peer in peers) {
            val progress = peerProgress[peer] ?: return null
            if (!areAcknowledgementsKnownBefore(progress.startedAt)) return null
            earliest = minOf(earliest, progress.completeUntil)
        }
        return earliest
    }

    /** Whether what processes before [start] acknowledged is known, or too old to matter. */
    private fun areAcknowledgementsKnownBefore(start: Micros) =
        storeReadAsOf >= start || context.now - start > retention

    /** How much of what each peer acknowledged is known here, to be sent to them. */
    fun cursors(): List<CancellationCursor> =
        peerProgress.map { (name, progress) ->
            CancellationCursor(name, progress.processIncarnation, progress.knownCount)
        }

    /** What a peer that is at [cursor] does not know yet of what this process acknowledged. */
    fun updateAfter(cursor: CancellationCursor?): CancellationUpdate {
        removeExpired()
        return acknowledged.updateAfter(cursor, context.now - (startedAt ?: context.now))
    }

    /**
     * Takes in the answer of [member] to a heartbeat that was sent at [sentAt]: it holds all that
     * the peer's process had acknowledged by then.
     */
    fun applyUpdate(member: String, update: CancellationUpdate, sentAt: Micros) {
        var progress = peerProgress[member]
        if (progress == null || progress.processIncarnation != update.processIncarnation) {
            val uptime = Micros(update.uptime.coerceAtLeast(0)) * (1 - MAX_CLOCK_DRIFT)
            progress = PeerProgress(update.processIncarnation, context.now - uptime)
            peerProgress[member] = progress
        }
        for (job in update.jobs) observe(JobId(job))
        progress.knownCount = maxOf(progress.knownCount, update.firstIndex + update.jobs.size)
        if (!update.hasMore) progress.completeUntil = maxOf(progress.completeUntil, sentAt)
    }

    /**
     * Reads the cancelled jobs from the store if this process or another one of a member is new:
     * what the process before it acknowledged only the store knows.
     */
    fun tick() {
        val start = startedAt ?: context.now.also { startedAt = it }
        if (isScanning || context.now < nextScanAt) return
        if (
            areAcknowledgementsKnownBefore(start) &&
                peerProgress.values.all { areAcknowledgementsKnownBefore(it.startedAt) }
        )
            return
        isScanning = true
        nextScanAt = context.now + STORE_SCAN_PERIOD
        val sentAt = context.now
        store.scan(JobRecord.CANCELLED_PREFIX, IgnoredValue.serializer()) { result ->
            isScanning = false
            if (result == null) return@scan
            for (item in result.items) {
                observeStored(JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX)))
            }
            recordStoreRead(asOf = sentAt)
            log.debug("{} cancelled jobs are known", known.size)
        }
    }

    private fun removeExpired() {
        acknowledged.removeExpired()
        while (
            !known.isEmpty() &&
                context.now - known[known.firstKey()]!!.observedAt > retention + retention
        ) {
            known.removeFirst()
        }
    }

    companion object {
        private val STORE_SCAN_PERIOD = 2.seconds
        private const val RETENTION_FACTOR = 1.1
        private val RETENTION_MARGIN = 5.seconds

        /** How long cancellations are kept: somewhat longer than their tasks may run on. */
        fun retention(cancelTime: Micros) = cancelTime * RETENTION_FACTOR + RETENTION_MARGIN
    }
}
