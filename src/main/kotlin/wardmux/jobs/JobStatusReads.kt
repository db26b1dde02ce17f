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

/** What a read that began after the call came has shown of a job. */
sealed interface JobStatus {
    /** Its record says that it is accepted, and not over. */
    data object Open : JobStatus

    /** Its record was read. */
    class Recorded(val item: KeyValue) : JobStatus

    /** It has no record. */
    data object Absent : JobStatus

    /** The key-value store could not be asked, or not in time. */
    data object Unavailable : JobStatus
}

/** Is given the status that a call has waited for. */
fun interface JobStatusListener {
    /** A read for [call] has shown that [job] has this [status]. */
    fun statusRead(call: Long, job: JobId, status: JobStatus)
}

/**
 * Reads the status of jobs for the calls that wait for it, those that have waited longest first;
 * one read serves all calls for a job that came before it began. Of a job whose record was once
 * seen as accepted it is enough to learn that the record has not changed since, and one request
 * tells that for many jobs: a transaction that only compares.
 */
class JobStatusReads(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val openVersions: OpenJobVersions,
    private val listener: JobStatusListener,
) {
    private class WaitingCall(val call: Long, val waitingSince: Micros)

    /** Calls by their job, in the order of each job's oldest call. */
    private val waitingCalls = LinkedHashMap<JobId, ArrayList<WaitingCall>>()
    private var comparisonsInFlight = 0
    private var readsInFlight = 0
    private var isScanning = false

    /** Has [job] read for [call]. */
    fun request(call: Long, job: JobId) {
        waitingCalls.getOrPut(job) { ArrayList(1) }.add(WaitingCall(call, context.now))
        startReads()
    }

    /** Starts the reads that there is room for; calls that come during one wait for the next. */
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

    /** Nobody waits for an answer that comes too late: these calls are answered now. */
    private fun answerExpiredCalls() {
        val expired = LinkedHashMap<JobId, List<WaitingCall>>()
        val iterator = waitingCalls.entries.iterator()
        while (iterator.hasNext()) {
            val (job, calls) = iterator.next()
            // In the order of their oldest call, so no later one has waited longer.
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
     * A fresh process is asked for many jobs that it has never seen. The keys of open jobs were
     * written together with their records, so both have the same versions.
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
        /** Comparing transactions that may be under way at once. */
        const val MAX_CONCURRENT_COMPARISONS = 2

        /** Reads of single records that may be under way at once. */
        const val MAX_CONCURRENT_READS = 16

        /** If more jobs than these have no known version, one scan shows them all. */
        const val MAX_UNKNOWN_JOBS_READ_INDIVIDUALLY = 12

        /** Users wait for two seconds. */
        val MAX_CALL_WAIT = 1_700.milliseconds
    }
}
