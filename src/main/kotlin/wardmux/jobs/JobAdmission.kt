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
        val known = types.types ?: return answerKnownOrUnavailable(call, spec.jobId)
        val reason = feasibility.reasonInfeasible(spec, known)
        if (reason != null) refuse(call, spec.jobId, HttpStatus.UNPROCESSABLE_CONTENT, reason)
        else acceptFitting(call, spec, known)
    }

    /** A known job is never told that it is malformed or can't run, whatever the repeat says. */
    private fun refuse(call: Long, job: JobId?, status: Int, reason: String) {
        val answer = {
            log.debug("submission refused with status {}: {}", status, reason)
            responder.answerError(call, status, reason)
        }
        if (job == null) answer() else answerKnownOr(call, job, answer)
    }

    /** Answers with the state of a job that is recorded, and runs [absent] for any other. */
    private fun answerKnownOr(call: Long, job: JobId, absent: () -> Unit) {
        store.get(JobRecord.key(job)) { result ->
            when (result) {
                is StoreResult.Ok -> responder.answerRecord(call, job, result.value)
                is StoreResult.NotFound -> absent()
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private fun answerKnownOrUnavailable(call: Long, job: JobId) =
        answerKnownOr(call, job) { responder.answerUnavailable(call) }

    /** What can't be recorded can never run. */
    private fun acceptFitting(call: Long, spec: JobSpec, known: List<MachineType>) {
        val usefulTypes = known.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
        val fitting = JobRecord.shortened(spec, usefulTypes, maxRecordBytes)
        if (fitting == null) refuseTooLarge(call, spec.jobId) else accept(call, fitting)
    }

    private fun refuseTooLarge(call: Long, job: JobId) =
        refuse(call, job, HttpStatus.UNPROCESSABLE_CONTENT, TOO_LARGE)

    /** A record is written twice in the transaction that accepts it. */
    private val maxRecordBytes: Int
        get() = minOf(store.maxValueBytes, MAX_BYTES_WRITTEN_TWICE)

    private fun accept(call: Long, spec: JobSpec) {
        val job = spec.jobId
        val record = JobRecord(JobState.ACCEPTED, context.wallTime.value, spec).toJson()
        val changes =
            listOf(
                WriteOperation(put = JobRecord.key(job), data = record),
                WriteOperation(put = JobRecord.openKey(job), data = record),
            )
        val absent = listOf(VersionCondition(JobRecord.key(job), KeyVersion.ABSENT))
        store.compareAndSwap(absent, changes, RequestPriority.USER_WRITE) { result ->
            when (result) {
                is StoreResult.Ok -> accepted(call, spec, result.value.keyVersion)
                is StoreResult.Conflict -> answerKnownOrUnavailable(call, job)
                // Perhaps written: the record is read before anything is said.
                is StoreResult.Indeterminate -> answerKnownOrUnavailable(call, job)
                // The store counts the record as too large; it is not sent that again.
                is StoreResult.InvalidRequest ->
                    if (JobRecord.maxBytes(spec) > maxRecordBytes) refuseTooLarge(call, job)
                    else responder.answerUnavailable(call)
                else -> responder.answerUnavailable(call)
            }
        }
    }

    private fun accepted(call: Long, spec: JobSpec, version: KeyVersion) {
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
        const val MAX_BYTES_WRITTEN_TWICE = 30_000
        const val TOO_LARGE = "its record is larger than the state service may come to hold"
    }
}
