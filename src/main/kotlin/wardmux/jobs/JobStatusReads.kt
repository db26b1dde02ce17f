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
    private class WaitingCall(val call: Long, val since: Micros)

    /** Calls by their job, in the order of each job's oldest call. */
    private val waiting = LinkedHashMap<JobId, ArrayList<WaitingCall>>()
    private var openComparisons = 0
    private var openReads = 0
    private var isScanning = false

    /** Has [job] read for [call]. */
    fun request(call: Long, job: JobId) {
        waiting.getOrPut(job) { ArrayList(1) }.add(WaitingCall(call, context.now))
        startReads()
    }

    /** Starts the reads that there is room for; calls that come during one wait for the next. */
    fun startReads() {
        expireLateCalls()
        while (waiting.isNotEmpty()) {
            val (job, calls) = waiting.entries.first()
            val isKnown = job in openVersions
            when {
                isKnown && openComparisons < MAX_COMPARISONS -> compareVersions()
                !isKnown && unknownJobs() > MAX_UNKNOWN_READ_SINGLY ->
                    if (isScanning) return else scanOpenJobs()
                !isKnown && openReads < MAX_READS -> {
                    waiting.remove(job)
                    readRecord(job, calls)
                }
                else -> return
            }
        }
    }

    private fun unknownJobs() = waiting.keys.count { it !in openVersions }

    /** Nobody waits for an answer that comes too late: these calls are answered now. */
    private fun expireLateCalls() {
        val late = LinkedHashMap<JobId, List<WaitingCall>>()
        val jobs = waiting.entries.iterator()
        while (jobs.hasNext()) {
            val (job, calls) = jobs.next()
            // In the order of their oldest call, so no later one has waited longer.
            if (context.now - calls.first().since < MAX_WAIT) break
            late[job] = calls
            jobs.remove()
        }
        for ((job, calls) in late) report(job, calls, JobStatus.Unavailable)
    }

    private fun report(job: JobId, calls: List<WaitingCall>, status: JobStatus) {
        for (waitingCall in calls) listener.statusRead(waitingCall.call, job, status)
    }

    private fun compareVersions() {
        val compared = LinkedHashMap<JobId, List<WaitingCall>>()
        val conditions = ArrayList<VersionCondition>()
        val jobs = waiting.entries.iterator()
        while (jobs.hasNext() && conditions.size < store.maxConditions) {
            val (job, calls) = jobs.next()
            if (job !in openVersions) continue
            jobs.remove()
            compared[job] = calls
            conditions.add(VersionCondition(JobRecord.key(job), openVersions.getValue(job)))
        }
        openComparisons++
        store.compareAndSwap(conditions, emptyList(), RequestPriority.READ) { result ->
            openComparisons--
            val changed = (result as? StoreResult.Conflict)?.failed.orEmpty().toSet()
            val isAnswered = result is StoreResult.Ok || changed.isNotEmpty()
            for ((job, calls) in compared) {
                when {
                    !isAnswered -> report(job, calls, JobStatus.Unavailable)
                    JobRecord.key(job) in changed -> {
                        openVersions.remove(job)
                        readRecord(job, calls)
                    }
                    else -> report(job, calls, JobStatus.Open)
                }
            }
            startReads()
        }
    }

    private fun readRecord(job: JobId, calls: List<WaitingCall>) {
        openReads++
        store.get(JobRecord.key(job)) { result ->
            openReads--
            val status =
                when (result) {
                    is StoreResult.Ok -> JobStatus.Recorded(result.value)
                    is StoreResult.NotFound -> JobStatus.Absent
                    else -> JobStatus.Unavailable
                }
            report(job, calls, status)
            startReads()
        }
    }

    /**
     * A fresh process is asked for many jobs that it has never seen. The keys of open jobs were
     * written together with their records, so both have the same versions.
     */
    private fun scanOpenJobs() {
        isScanning = true
        val scanned = LinkedHashMap(waiting)
        waiting.clear()
        store.scan(JobRecord.OPEN_PREFIX, IgnoredValue.serializer(), RequestPriority.READ) { found
            ->
            isScanning = false
            val open = HashSet<JobId>()
            for (item in found?.items.orEmpty()) {
                val job = JobId(item.key.removePrefix(JobRecord.OPEN_PREFIX))
                open.add(job)
                openVersions.record(job, item.version)
            }
            for ((job, calls) in scanned) {
                when {
                    found == null -> report(job, calls, JobStatus.Unavailable)
                    job in open -> report(job, calls, JobStatus.Open)
                    else -> readRecord(job, calls)
                }
            }
            startReads()
        }
    }

    private companion object {
        /** Comparing transactions that may be under way at once. */
        const val MAX_COMPARISONS = 2

        /** Reads of single records that may be under way at once. */
        const val MAX_READS = 16

        /** If more jobs than these have no known version, one scan shows them all. */
        const val MAX_UNKNOWN_READ_SINGLY = 12

        /** Users wait for two seconds. */
        val MAX_WAIT = 1_700.milliseconds
    }
}
