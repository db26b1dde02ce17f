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
 * Accepts the jobs that users submit: records each once, and answers after that. A submission that
 * repeats a known job is answered with the job's state, whatever else it says.
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

    /** Answers [call], a submission. */
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

    /** A known job is never told that it is malformed or can't run, whatever the repeat says. */
    private fun refuse(call: Long, job: JobId?, status: Int, reason: String) {
        val answerRefusal = {
            log.debug("submission refused with status {}: {}", status, reason)
            responder.answerError(call, status, reason)
        }
        if (job == null) answerRefusal() else answerFromRecordOrElse(call, job, answerRefusal)
    }

    /** Answers with the state of a job that is recorded, and runs [onAbsent] for any other. */
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

    /** What can't be recorded can never run. */
    private fun acceptIfRecordFits(call: Long, spec: JobSpec, knownTypes: List<MachineType>) {
        val usefulTypes = knownTypes.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
        val fittingSpec = JobRecord.shortened(spec, usefulTypes, maxRecordBytes)
        if (fittingSpec == null) refuseTooLarge(call, spec.jobId) else accept(call, fittingSpec)
    }

    private fun refuseTooLarge(call: Long, job: JobId) =
        refuse(call, job, HttpStatus.UNPROCESSABLE_CONTENT, RECORD_TOO_LARGE_REASON)

    /** A record is written twice in the transaction that accepts it. */
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
        val recordIsAbsent = listOf(VersionCondition(JobRecord.key(job), KeyVersion.ABSENT))
        store.compareAndSwap(recordIsAbsent, changes, RequestPriority.USER_WRITE) { result ->
            when (result) {
                is StoreResult.Ok -> answerAccepted(call, spec, result.value.keyVersion)
                is StoreResult.Conflict -> answerFromRecordOrUnavailable(call, job)
                // Perhaps written: the record is read before anything is said.
                is StoreResult.Indeterminate -> answerFromRecordOrUnavailable(call, job)
                // The store counts the record as too large; it is not sent that again.
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
            "{} accepted: {} {} tasks of {} CPUs for {}",
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
            "its record is larger than the state service may come to hold"
    }
}
