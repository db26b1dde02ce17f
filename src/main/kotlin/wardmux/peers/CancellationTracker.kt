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

/** Receives every cancellation that becomes known to this process. */
fun interface CancellationListener {
    /** Called when this process first learns that [job] is cancelled. */
    fun onCancelled(job: JobId)
}

/**
 * Tracks the cancellations that any controller acknowledged to users, and the time until which this
 * process knows all of them ([completeUntil]).
 *
 * There are two sources: the key-value store, and the peers, each of which reports what its current
 * process acknowledged. A leader that gets no answer from the store therefore still knows all
 * cancellations. It may go on renewing leases during an outage of the store, in which nobody can
 * cancel a job.
 *
 * A peer's report is as reliable as the store, because a cancellation is stored before it is
 * acknowledged. A process that has ended or cannot be reached may, however, have acknowledged
 * cancellations that no peer knows.
 */
class CancellationTracker(
    private val context: CoreContext,
    private val store: KeyValueStore,
    processIncarnation: String,
    private val peers: List<String>,
    /** The time after a cancellation from which none of its tasks can be on a machine any more. */
    private val retention: Micros,
    private val listener: CancellationListener,
) {
    /**
     * A cancellation that this process last observed at [observedAt]. A user may have been told of
     * it from [acknowledgedSince] on.
     */
    private class KnownCancellation(val observedAt: Micros, val acknowledgedSince: Micros)

    /**
     * How many of the cancellations that a peer's current process acknowledged are known, and the
     * time before which it acknowledged no others. The process started at [startedAt] or earlier.
     */
    private class PeerProgress(val processIncarnation: String, val startedAt: Micros) {
        var knownCount = 0L
        var completeUntil = Micros.LONG_AGO
    }

    private val log = logger<CancellationTracker>()
    /** The time of the first tick, or null before it. */
    private var startedAt: Micros? = null
    private val acknowledged = AcknowledgedCancellations(context, processIncarnation, retention)
    private val peerProgress = HashMap<String, PeerProgress>()
    private val known = Object2ObjectLinkedOpenHashMap<JobId, KnownCancellation>()

    /** All cancellations stored before this time have been read from the store. */
    private var storeReadAsOf = Micros.LONG_AGO
    private var nextScanAt = Micros.LONG_AGO
    private var isScanning = false

    /** The number of cancellations that became known so far. */
    var observedCount = 0L
        private set

    /** Whether [job] is known to be cancelled. */
    operator fun contains(job: JobId) = known.containsKey(job)

    /** Records that this process is about to tell a user that [job] is cancelled. */
    fun recordAcknowledged(job: JobId) {
        acknowledged.add(job)
        observe(job)
    }

    /** Records that [job] was cancelled recently, by whichever controller. */
    fun observe(job: JobId) {
        // All cancellations acknowledged before `completeUntil` are known. A cancellation that was
        // not known yet was therefore acknowledged later.
        observe(job, since = completeUntil)
    }

    /** Records that [job] is stored as cancelled. Its cancellation may be of any age. */
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

    /** Records that the store has shown all cancellations stored before [asOf]. */
    fun recordStoreRead(asOf: Micros) {
        storeReadAsOf = maxOf(storeReadAsOf, asOf)
    }

    /** Every cancellation that any user was told of before this time is known. */
    val completeUntil: Micros
        get() = maxOf(storeReadAsOf, peersCompleteUntil() ?: storeReadAsOf)

    /**
     * The time until which the peers and this process cover all acknowledged cancellations, or null
     * if a peer has not reported yet or a former process may have acknowledged unknown ones.
     */
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

    /** Whether all cancellations acknowledged before [start] are known or past their retention. */
    private fun areAcknowledgementsKnownBefore(start: Micros) =
        storeReadAsOf >= start || context.now - start > retention

    /**
     * For each peer, how much this process knows of what the peer acknowledged; sent to the peers.
     */
    fun cursors(): List<CancellationCursor> =
        peerProgress.map { (name, progress) ->
            CancellationCursor(name, progress.processIncarnation, progress.knownCount)
        }

    /** The cancellations acknowledged by this process that a peer at [cursor] does not know yet. */
    fun updateAfter(cursor: CancellationCursor?): CancellationUpdate {
        removeExpired()
        return acknowledged.updateAfter(cursor, context.now - (startedAt ?: context.now))
    }

    /**
     * Applies the answer of [member] to a heartbeat that was sent at [sentAt]. Unless the answer
     * says that there are more cancellations, all that the peer's process acknowledged before
     * [sentAt] are known afterwards.
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
     * Reads the cancelled jobs from the store if this process or the process of a peer is new. Only
     * the store knows what the former process of the same member acknowledged.
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
            log.debug("read the cancelled jobs from the store, {} are known", known.size)
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

        /**
         * How long cancellations are kept. [cancelTime] is the time within which the tasks of a
         * cancelled job have to be gone, and the retention is somewhat longer.
         */
        fun retention(cancelTime: Micros) = cancelTime * RETENTION_FACTOR + RETENTION_MARGIN
    }
}
