package wardmux.jobs

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.MachineType
import wardmux.model.MachineTypes
import wardmux.records.JobRecord
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/**
 * Accepts the jobs that users submit. Each job is recorded once, and its user gets an answer only
 * after the record has been written. A submission with the id of a recorded job is answered with
 * the state of that job, regardless of its other fields.
 */
class JobAdmission(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val types: MachineTypes,
    private val feasibility: JobFeasibility,
    private val openVersions: OpenJobVersions,
    private val responder: JobResponder,
) {
    private val log = logger<JobAdmission>()

    /** Handles the submission in [body] and answers [call]. */
    fun submit(call: Long, body: ByteArray) {
        when (val submission = SubmissionReader.read(body)) {
            is Submission.Malformed ->
                refuse(call, submission.id, HttpStatus.BAD_REQUEST, submission.error.message)
            is Submission.WellFormed -> admit(call, submission.spec)
        }
    }

    private fun admit(call: Long, spec: JobSpec) {
        if (responder.answerIfFinal(call, spec.jobId)) return
        val knownTypes = types.types ?: return answerFromRecordOrUnavailable(call, spec.jobId)
        val reason = feasibility.infeasibilityReason(spec, knownTypes)
        if (reason != null) refuse(call, spec.jobId, HttpStatus.UNPROCESSABLE_CONTENT, reason)
        else acceptIfRecordFits(call, spec, knownTypes)
    }

    /**
     * Answers [call] with an error, unless [job] is already recorded: then the answer is the job's
     * state, because an accepted job must not be reported as malformed or infeasible. [job] is null
     * if the submission has no readable id.
     */
    private fun refuse(call: Long, job: JobId?, status: Int, reason: String) {
        val answerRefusal = {
            log.debug("submission refused with status {}: {}", status, reason)
            responder.answerError(call, status, reason)
        }
        if (job == null) answerRefusal() else answerFromRecordOrElse(call, job, answerRefusal)
    }

    /** Answers [call] with the state in the record of [job], or runs [onAbsent] if it has none. */
    private fun answerFromRecordOrElse(call: Long, job: JobId, onAbsent: () -> Unit) {
        store.get(JobRecord.key(job)) { result ->
            when (result) {
                is StoreResult.Ok -> responder.answerRecord(call, job, result.value)
                is StoreResult.NotFound -> onAbsent()
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private fun answerFromRecordOrUnavailable(call: Long, job: JobId) =
        answerFromRecordOrElse(call, job) { responder.answerUnavailable(call) }

    /**
     * Accepts the job if its record fits into a value of the key-value store, and refuses it
     * otherwise, because a job that can't be recorded can never run. Machine types on which the job
     * can't run may be left out of the record.
     */
    private fun acceptIfRecordFits(call: Long, spec: JobSpec, knownTypes: List<MachineType>) {
        val usefulTypes = knownTypes.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
        val fittingSpec = JobRecord.shortened(spec, usefulTypes, maxRecordBytes)
        if (fittingSpec == null) refuseTooLarge(call, spec.jobId) else accept(call, fittingSpec)
    }

    private fun refuseTooLarge(call: Long, job: JobId) =
        refuse(call, job, HttpStatus.UNPROCESSABLE_CONTENT, RECORD_TOO_LARGE_REASON)

    /**
     * The maximum size of a record in bytes. The transaction that accepts a job contains its record
     * twice, so the record must be smaller than half of a transaction.
     */
    private val maxRecordBytes: Int
        get() = minOf(store.maxValueBytes, MAX_RECORD_BYTES_PER_TRANSACTION)

    private fun accept(call: Long, spec: JobSpec) {
        val job = spec.jobId
        val record = JobRecord(JobState.ACCEPTED, context.wallTime.value, spec).toJson()
        val changes =
            listOf(
                WriteOperation(put = JobRecord.key(job), data = record),
                WriteOperation(put = JobRecord.openKey(job), data = record),
            )
        val conditions = listOf(VersionCondition(JobRecord.key(job), KeyVersion.ABSENT))
        store.compareAndSwap(conditions, changes, RequestPriority.USER_WRITE) { result ->
            when (result) {
                is StoreResult.Ok -> answerAccepted(call, spec, result.value.keyVersion)
                is StoreResult.Conflict -> answerFromRecordOrUnavailable(call, job)
                // The record may or may not have been written, so it is read before answering.
                is StoreResult.Indeterminate -> answerFromRecordOrUnavailable(call, job)
                // A store that escapes characters counts the record as larger. If the record may be
                // too large for that reason, the job is refused, so it is not sent again.
                is StoreResult.InvalidRequest ->
                    if (JobRecord.maxBytes(spec) > maxRecordBytes) refuseTooLarge(call, job)
                    else responder.answerUnavailable(call)
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private fun answerAccepted(call: Long, spec: JobSpec, version: KeyVersion) {
        openVersions.record(spec.jobId, version)
        log.info(
            "job {} accepted: {} tasks of class {} with {} CPUs each for team {}",
            spec.jobId,
            spec.tasks,
            spec.jobClass,
            spec.cpus,
            spec.team,
        )
        responder.answerState(call, HttpStatus.CREATED, spec.jobId, JobState.ACCEPTED)
    }

    private companion object {
        /** Well below half of the 64 KiB that a transaction may hold. */
        const val MAX_RECORD_BYTES_PER_TRANSACTION = 30_000
        const val RECORD_TOO_LARGE_REASON =
            "the job's record is too large for the state service's current or announced limits"
    }
}
