package wardmux.leader

import wardmux.fleet.DirectCommandSender
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.peers.CancellationTracker
import wardmux.scheduling.ClusterState

/** Takes cancelled jobs out of the leader's plans and stops their tasks. */
class JobCancellationHandler(
    private val cluster: ClusterState,
    private val directCommands: DirectCommandSender,
    private val cancellations: CancellationTracker,
) {
    private val log = logger<JobCancellationHandler>()

    /** A user was told, by this controller or another, that the job [id] is cancelled. */
    fun jobCancelled(id: JobId) {
        val job = cluster.jobs[id] ?: return
        if (job.isDone || job.hasEnded || job.allTasksDone) return
        log.info("{} is cancelled; {} placements to stop", job.id, job.placements.size)
        cluster.cancel(job, cancellations.acknowledgedSince(id))
        directCommands.sendDue()
    }

    /** A write of this leader showed that the record of [job] has changed. */
    fun recordChanged(job: Job) {
        // Only its user's cancellation changes it; the watch of the open jobs will show that too.
        if (!job.isDone) {
            log.info("{} was cancelled while it was being written", job.id)
            cluster.cancel(job, cancellations.completeUntil)
        }
    }
}
