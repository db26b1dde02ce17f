package wardmux.jobs

import wardmux.core.HttpStatus
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.records.JobRecord
import wardmux.store.KeyValue
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** Cancels jobs on request of users. The answer is sent after the cancellation is recorded. */
class JobCancellation(
    private val store: KeyValueStore,
    private val finalStates: FinalJobStates,
    private val responder: JobResponder,
) {
    private val log = logger<JobCancellation>()

    /** Cancels [job] and answers [call]. The state of a completed or cancelled job is kept. */
    fun cancel(call: Long, job: JobId) = attemptCancellation(call, job, MAX_RETRIES)

    private fun attemptCancellation(call: Long, job: JobId, remainingRetries: Int) {
        if (responder.answerIfFinal(call, job)) return
        store.get(JobRecord.key(job)) { result ->
            when (result) {
                is StoreResult.Ok -> {
                    val record = JobRecord.decode(result.value.data)
                    if (record?.state == JobState.ACCEPTED)
                        writeCancellation(call, job, result.value, record, remainingRetries)
                    else responder.answerRecord(call, job, result.value)
                }
                is StoreResult.NotFound -> responder.answerUnknownJob(call)
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private fun writeCancellation(
        call: Long,
        job: JobId,
        item: KeyValue,
        record: JobRecord,
        remainingRetries: Int,
    ) {
        val cancelled = record.toCancelled(store.maxValueBytes).toJson()
        val changes =
            listOf(
                WriteOperation(put = JobRecord.key(job), data = cancelled),
                WriteOperation(put = JobRecord.cancelledKey(job), data = cancelled),
                WriteOperation(remove = JobRecord.openKey(job)),
            )
        val conditions = listOf(VersionCondition(JobRecord.key(job), item.version))
        store.compareAndSwap(conditions, changes, RequestPriority.USER_WRITE) { result ->
            when {
                result is StoreResult.Ok -> {
                    log.info("job {} cancelled by its user", job)
                    finalStates.record(job, JobState.CANCELLED)
                    responder.answerState(call, HttpStatus.OK, job, JobState.CANCELLED)
                }
                // The record has changed since the read, or the cancellation may have been written.
                // The next attempt reads the record again.
                (result is StoreResult.Conflict || result is StoreResult.Indeterminate) &&
                    remainingRetries > 0 -> attemptCancellation(call, job, remainingRetries - 1)
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private companion object {
        /** Retries after a conflict or a write with an unknown result. */
        const val MAX_RETRIES = 3
    }
}
