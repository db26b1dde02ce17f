package wardmux.peers

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.store.IgnoredValue
import wardmux.store.KeyValueStore

/** How many of the cancellations that process [boot] of [member] told the asker has. */
@Serializable
class CancellationCursor(
    @SerialName("member") val member: String,
    @SerialName("boot") val processIncarnation: String,
    @SerialName("count") val count: Long,
)

/** What a process has told users to be cancelled, as an answer to a sibling's heartbeat. */
@Serializable
class CancellationUpdate(
    @SerialName("boot") val processIncarnation: String,
    /** How long this process has run, in microseconds: it answers for no former one. */
    @SerialName("up") val uptime: Long,
    /** Counted from the first that this process told: that of the first of [jobs]. */
    @SerialName("from") val firstIndex: Long,
    @SerialName("jobs") val jobs: List<String> = emptyList(),
    /** There are more than fit into one answer. */
    @SerialName("more") val hasMore: Boolean = false,
)

/**
 * What users were told to be cancelled, by any controller, and up to when this one surely knows all
 * of it. The state service says so, and so do the siblings, each for what it told itself: a leader
 * that the state service refuses goes on knowing, and in an outage for all, in which nobody can
 * cancel anything, it may go on keeping its workers' leases alive.
 *
 * What is told by one sibling is as good as what the state service shows: it was recorded first.
 * But a process that is gone, or can't be heard, may have told something that nobody else knows.
 */
class CancellationTracker(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val processIncarnation: String,
    private val peers: List<String>,
    /** What was cancelled longer ago can't be on a machine any more. */
    private val horizon: Micros,
    /** One that this process did not know of. */
    private val onObserved: (JobId) -> Unit,
) {
    private class ConfirmedJob(val job: JobId, val at: Micros)

    /** A user may have been told of it from [since] on. */
    private class KnownCancellation(val learnedAt: Micros, val since: Micros)

    /** How much of what a sibling's present process told is known here, and up to when. */
    private class PeerProgress(val processIncarnation: String, val since: Micros) {
        var count = 0L
        var at = Micros.LONG_AGO
    }

    private val log = logger<CancellationTracker>()
    private var startedAt: Micros? = null
    private val confirmedHere = ArrayDeque<ConfirmedJob>()
    private var dropped = 0L
    private val peerProgress = HashMap<String, PeerProgress>()
    private val known = Object2ObjectLinkedOpenHashMap<JobId, KnownCancellation>()

    /** All that was told before then was shown by the state service. */
    private var shownAt = Micros.LONG_AGO
    private var scanAt = Micros.LONG_AGO
    private var scanning = false

    /** Counts the cancellations that became known. */
    var observedCount = 0L
        private set

    /** Whether [job] is known to be cancelled. */
    operator fun contains(job: JobId) = known.containsKey(job)

    /** This process is about to tell a user. */
    fun acknowledged(job: JobId) {
        if (confirmedHere.none { it.job == job })
            confirmedHere.addLast(ConfirmedJob(job, context.now))
        observe(job)
    }

    /** [job] was recorded as cancelled, whoever told its user. */
    fun observe(job: JobId) {
        // All that was told before that is known, so this was told later.
        observe(job, since = completeUntil)
    }

    /** [job] is among what is stored as cancelled, perhaps for very long. */
    fun observeStored(job: JobId) = observe(job, since = Micros.LONG_AGO)

    private fun observe(job: JobId, since: Micros) {
        val before = known[job]
        val earliest = before?.since ?: since
        known.putAndMoveToLast(job, KnownCancellation(context.now, earliest))
        if (before != null) return
        observedCount++
        onObserved(job)
    }

    /** The earliest moment at which a user may have been told that [job] is cancelled. */
    fun acknowledgedSince(job: JobId): Micros = known[job]?.since ?: Micros.LONG_AGO

    /** All jobs that are known to be cancelled. */
    fun all(): Set<JobId> = known.keys

    /** The state service has shown all that was recorded before [at]. */
    fun storeReadAsOf(at: Micros) {
        shownAt = maxOf(shownAt, at)
    }

    /** All that any user was told before then is known. */
    val completeUntil: Micros
        get() = maxOf(shownAt, siblingsAt() ?: shownAt)

    private fun siblingsAt(): Micros? {
        if (!covers(startedAt ?: return null)) return null
        var least = context.now
        for (peer in peers) {
            val progress = peerProgress[peer] ?: return null
            if (!covers(progress.since)) return null
            least = minOf(least, progress.at)
        }
        return least
    }

    /** What processes before [since] told is known, or too old to matter. */
    private fun covers(since: Micros) = shownAt >= since || context.now - since > horizon

    /** How much of what each sibling told is known here, to be sent to them. */
    fun cursors(): List<CancellationCursor> =
        peerProgress.map { (name, progress) ->
            CancellationCursor(name, progress.processIncarnation, progress.count)
        }

    /** What a sibling that is at [cursor] does not know yet of what this process told. */
    fun updateAfter(cursor: CancellationCursor?): CancellationUpdate {
        removeOld()
        val from =
            maxOf(
                cursor?.takeIf { it.processIncarnation == processIncarnation }?.count ?: 0,
                dropped,
            )
        val rest = confirmedHere.drop((from - dropped).toInt())
        val jobs = rest.take(MAX_REPORTED_JOBS).map { it.job.value }
        val up = (context.now - (startedAt ?: context.now)).value
        return CancellationUpdate(
            processIncarnation,
            up,
            from,
            jobs,
            hasMore = rest.size > MAX_REPORTED_JOBS,
        )
    }

    /** The answer of [member] to what was sent at [sentAt]: it holds all that it told till then. */
    fun applyUpdate(member: String, report: CancellationUpdate, sentAt: Micros) {
        var progress = peerProgress[member]
        if (progress == null || progress.processIncarnation != report.processIncarnation) {
            val since = context.now - Micros(report.uptime.coerceAtLeast(0)) * (1 - MAX_CLOCK_DRIFT)
            progress =
                PeerProgress(report.processIncarnation, since).also { peerProgress[member] = it }
        }
        for (job in report.jobs) observe(JobId(job))
        progress.count = maxOf(progress.count, report.firstIndex + report.jobs.size)
        if (!report.hasMore) progress.at = maxOf(progress.at, sentAt)
    }

    /**
     * Another process of a member, or this one, has begun: what the one before told is asked of the
     * state service, once.
     */
    fun tick() {
        val begun = startedAt ?: context.now.also { startedAt = it }
        if (scanning || context.now < scanAt) return
        if (covers(begun) && peerProgress.values.all { covers(it.since) }) return
        scanning = true
        scanAt = context.now + SCAN_PERIOD
        val sentAt = context.now
        store.scan(JobRecord.CANCELLED_PREFIX, IgnoredValue.serializer()) { found ->
            scanning = false
            if (found == null) return@scan
            for (item in found.items) observeStored(
                JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX))
            )
            storeReadAsOf(sentAt)
            log.debug("{} cancelled jobs are known", known.size)
        }
    }

    private fun removeOld() {
        while (confirmedHere.isNotEmpty() && context.now - confirmedHere.first().at > horizon) {
            confirmedHere.removeFirst()
            dropped++
        }
        while (
            !known.isEmpty() &&
                context.now - known[known.firstKey()]!!.learnedAt > horizon + horizon
        ) {
            known.removeFirst()
        }
    }

    companion object {
        private const val MAX_REPORTED_JOBS = 500
        private val SCAN_PERIOD = 2.seconds
        private const val HORIZON_FACTOR = 1.1
        private val HORIZON_MARGIN = 5.seconds

        /** Somewhat more than a cancelled job's tasks may live. */
        fun horizon(cancelTime: Micros) = cancelTime * HORIZON_FACTOR + HORIZON_MARGIN
    }
}
