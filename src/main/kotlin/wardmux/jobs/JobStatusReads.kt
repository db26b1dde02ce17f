package wardmux.jobs

import wardmux.core.CoreContext
import wardmux.model.JobId
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.records.JobRecord
import wardmux.store.IgnoredValue
import wardmux.store.KeyValue
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition

/** The status of a job according to a read that began after the user's call arrived. */
sealed interface JobStatus {
    /** The job is accepted, and neither completed nor cancelled. */
    data object Open : JobStatus

    /** The record of the job was read; its state is not decoded yet. */
    class Recorded(val item: KeyValue) : JobStatus

    /** The job has no record. */
    data object Absent : JobStatus

    /** The key-value store did not answer, or not in time. */
    data object Unavailable : JobStatus
}

/** Receives the status for each call that waits for a read. */
fun interface JobStatusListener {
    /** Called with the [status] of [job] that was read for [call]. */
    fun statusRead(call: Long, job: JobId, status: JobStatus)
}

/**
 * Reads the status of jobs for users' calls, starting with the job that has waited longest. One
 * read serves all calls for the job that arrived before the read began.
 *
 * If the record of a job was once seen in the accepted state, it is enough to check that the record
 * still has the same version. One request checks this for many jobs: a transaction with conditions
 * on the versions and without changes.
 */
class JobStatusReads(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val openVersions: OpenJobVersions,
    private val listener: JobStatusListener,
) {
    private class WaitingCall(val call: Long, val waitingSince: Micros)

    /** Waiting calls by job, ordered by the oldest call of each job. */
    private val waitingCalls = LinkedHashMap<JobId, ArrayList<WaitingCall>>()
    private var comparisonsInFlight = 0
    private var readsInFlight = 0
    private var isScanning = false

    /** Requests a read of [job] for [call]. The result goes to the listener. */
    fun request(call: Long, job: JobId) {
        waitingCalls.getOrPut(job) { ArrayList(1) }.add(WaitingCall(call, context.now))
        startReads()
    }

    /**
     * Starts as many reads as the limits on concurrent requests allow. A call that arrives during a
     * read of its job waits for the next read.
     */
    fun startReads() {
        answerExpiredCalls()
        while (waitingCalls.isNotEmpty()) {
            val (job, calls) = waitingCalls.entries.first()
            val hasKnownVersion = job in openVersions
            when {
                hasKnownVersion && comparisonsInFlight < MAX_CONCURRENT_COMPARISONS ->
                    compareVersions()
                !hasKnownVersion && countUnknownJobs() > MAX_UNKNOWN_JOBS_READ_INDIVIDUALLY ->
                    if (isScanning) return else scanOpenJobs()
                !hasKnownVersion && readsInFlight < MAX_CONCURRENT_READS -> {
                    waitingCalls.remove(job)
                    readRecord(job, calls)
                }
                else -> return
            }
        }
    }

    private fun countUnknownJobs() = waitingCalls.keys.count { it !in openVersions }

    /**
     * Reports calls that have waited for [MAX_CALL_WAIT] as unavailable, because their users would
     * time out before the result of a read arrives.
     */
    private fun answerExpiredCalls() {
        val expired = LinkedHashMap<JobId, List<WaitingCall>>()
        val iterator = waitingCalls.entries.iterator()
        while (iterator.hasNext()) {
            val (job, calls) = iterator.next()
            // Jobs are ordered by their oldest call, so no later job has waited longer.
            if (context.now - calls.first().waitingSince < MAX_CALL_WAIT) break
            expired[job] = calls
            iterator.remove()
        }
        for ((job, calls) in expired) notifyListener(job, calls, JobStatus.Unavailable)
    }

    private fun notifyListener(job: JobId, calls: List<WaitingCall>, status: JobStatus) {
        for (waitingCall in calls) listener.statusRead(waitingCall.call, job, status)
    }

    private fun compareVersions() {
        val compared = LinkedHashMap<JobId, List<WaitingCall>>()
        val conditions = ArrayList<VersionCondition>()
        val iterator = waitingCalls.entries.iterator()
        while (iterator.hasNext() && conditions.size < store.maxConditions) {
            val (job, calls) = iterator.next()
            if (job !in openVersions) continue
            iterator.remove()
            compared[job] = calls
            conditions.add(VersionCondition(JobRecord.key(job), openVersions.getValue(job)))
        }
        comparisonsInFlight++
        store.compareAndSwap(conditions, emptyList(), RequestPriority.READ) { result ->
            comparisonsInFlight--
            val changed = (result as? StoreResult.Conflict)?.failed.orEmpty().toSet()
            val isComparisonAnswered = result is StoreResult.Ok || changed.isNotEmpty()
            for ((job, calls) in compared) {
                when {
                    !isComparisonAnswered -> notifyListener(job, calls, JobStatus.Unavailable)
                    JobRecord.key(job) in changed -> {
                        openVersions.remove(job)
                        readRecord(job, calls)
                    }
                    else -> notifyListener(job, calls, JobStatus.Open)
                }
            }
            startReads()
        }
    }

    private fun readRecord(job: JobId, calls: List<WaitingCall>) {
        readsInFlight++
        store.get(JobRecord.key(job)) { result ->
            readsInFlight--
            val status =
                when (result) {
                    is StoreResult.Ok -> JobStatus.Recorded(result.value)
                    is StoreResult.NotFound -> JobStatus.Absent
                    else -> JobStatus.Unavailable
                }
            notifyListener(job, calls, status)
            startReads()
        }
    }

    /**
     * Reads the versions of all open jobs with one scan, because a newly started process may get
     * calls for many jobs that it does not know. The copy of an open job's record is written in the
     * same transaction as the record, so both have the same version.
     */
    private fun scanOpenJobs() {
        isScanning = true
        val scanned = LinkedHashMap(waitingCalls)
        waitingCalls.clear()
        store.scan(JobRecord.OPEN_PREFIX, IgnoredValue.serializer(), RequestPriority.READ) { found
            ->
            isScanning = false
            val openJobs = HashSet<JobId>()
            for (item in found?.items.orEmpty()) {
                val job = JobId(item.key.removePrefix(JobRecord.OPEN_PREFIX))
                openJobs.add(job)
                openVersions.record(job, item.version)
            }
            for ((job, calls) in scanned) {
                when {
                    found == null -> notifyListener(job, calls, JobStatus.Unavailable)
                    job in openJobs -> notifyListener(job, calls, JobStatus.Open)
                    else -> readRecord(job, calls)
                }
            }
            startReads()
        }
    }

    private companion object {
        /** The maximum number of version comparisons in flight. */
        const val MAX_CONCURRENT_COMPARISONS = 2

        /** The maximum number of reads of single records in flight. */
        const val MAX_CONCURRENT_READS = 16

        /** If more waiting jobs than this have no known version, one scan reads all open jobs. */
        const val MAX_UNKNOWN_JOBS_READ_INDIVIDUALLY = 12

        /** Below the two seconds for which users wait for an answer. */
        val MAX_CALL_WAIT = 1_700.milliseconds
    }
}
