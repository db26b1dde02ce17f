package wardmux.leader

import wardmux.fleet.DirectCommandSender
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.peers.CancellationTracker
import wardmux.scheduling.ClusterState

/** Removes cancelled jobs from the leader's planning and stops their tasks. */
class JobCancellationHandler(
    private val cluster: ClusterState,
    private val directCommands: DirectCommandSender,
    private val cancellations: CancellationTracker,
) {
    private val log = logger<JobCancellationHandler>()

    /** Handles the cancellation of the job [id], which any controller may have acknowledged. */
    fun jobCancelled(id: JobId) {
        val job = cluster.jobs[id] ?: return
        if (job.isDone || job.hasEnded || job.allTasksDone) return
        log.info("job {} is cancelled: {} placements to stop", job.id, job.placements.size)
        cluster.cancel(job, cancellations.acknowledgedSince(id))
        directCommands.sendDue()
    }

    /** Handles a write of this leader that failed because the record of [job] has changed. */
    fun recordChanged(job: Job) {
        // Only a user's cancellation changes the record of a job that is not done. The watch of the
        // open jobs will report it too.
        if (!job.isDone) {
            log.info("job {} was cancelled while this leader was writing its record", job.id)
            cluster.cancel(job, cancellations.completeUntil)
        }
    }
}
