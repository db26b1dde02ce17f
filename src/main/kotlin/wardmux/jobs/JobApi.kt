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
 * The users' operations on jobs: submission, status and cancellation. Every controller serves them,
 * leader or not: it writes the record of a job itself and answers only after the write. An answer
 * with a state that is not final is based on a read that began after the call arrived.
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

    /** Handles the submission of a job in [body] and answers [call]. */
    fun submit(call: Long, body: ByteArray) = admission.submit(call, body)

    /** Answers [call] with the status of [job]. */
    fun status(call: Long, job: JobId) {
        if (!responder.answerIfFinal(call, job)) statusReads.request(call, job)
    }

    /** Cancels [job] and answers [call]. The state of a completed or cancelled job is kept. */
    fun cancel(call: Long, job: JobId) = cancellation.cancel(call, job)

    /** Starts the reads for waiting status calls. Must be called several times a second. */
    fun tick() = statusReads.startReads()

    override fun jobCompleted(job: JobId) = finalStates.record(job, JobState.DONE)

    private fun answerStatus(call: Long, job: JobId, status: JobStatus) {
        // A final state may have become known while the read was in flight. It is newer than the
        // result of the read.
        if (responder.answerIfFinal(call, job)) return
        when (status) {
            is JobStatus.Open -> responder.answerOpen(call, job)
            is JobStatus.Recorded -> responder.answerRecord(call, job, status.item)
            is JobStatus.Absent -> responder.answerUnknownJob(call)
            is JobStatus.Unavailable -> responder.answerUnavailable(call)
        }
    }
}
