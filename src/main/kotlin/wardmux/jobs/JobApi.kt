package wardmux.jobs

import wardmux.config.TeamQuota
import wardmux.core.CoreContext
import wardmux.leader.JobCompletionListener
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.model.MachineTypes
import wardmux.peers.CancellationTracker
import wardmux.store.KeyValueStore

/**
 * What users ask of jobs: to submit one, its status, and to cancel it. Any controller writes a
 * job's record itself and answers only after the write; an answer that is not final rests on a read
 * that began after the call came.
 */
class JobApi(
    context: CoreContext,
    store: KeyValueStore,
    types: MachineTypes,
    teams: List<TeamQuota>,
    cancellations: CancellationTracker,
    progress: JobProgressSource,
) : JobCompletionListener {
    private val openVersions = OpenJobVersions()
    private val finalStates = FinalJobStates(cancellations, openVersions)
    private val responder = JobResponder(context, finalStates, openVersions, progress)
    private val admission =
        JobAdmission(context, store, types, JobFeasibility(teams), openVersions, responder)
    private val statusReads = JobStatusReads(context, store, openVersions, ::answerStatus)
    private val cancellation = JobCancellation(store, finalStates, responder)

    /** Answers [call], the submission of a job. */
    fun submit(call: Long, body: ByteArray) = admission.submit(call, body)

    /** Answers [call] with the status of [job]. */
    fun status(call: Long, job: JobId) {
        if (!responder.answerIfFinal(call, job)) statusReads.request(call, job)
    }

    /** Cancels [job] and answers [call]; a job that is over stays as it is. */
    fun cancel(call: Long, job: JobId) = cancellation.cancel(call, job)

    /** Starts the reads that calls wait for; to be called several times a second. */
    fun tick() = statusReads.startReads()

    override fun jobCompleted(job: JobId) = finalStates.record(job, JobState.DONE)

    private fun answerStatus(call: Long, job: JobId, status: JobStatus) {
        // It may have become known during the read, which is older.
        if (responder.answerIfFinal(call, job)) return
        when (status) {
            is JobStatus.Open -> responder.answerOpen(call, job)
            is JobStatus.Recorded -> responder.answerRecord(call, job, status.item)
            is JobStatus.Absent -> responder.answerUnknownJob(call)
            is JobStatus.Unavailable -> responder.answerUnavailable(call)
        }
    }
}
