package wardmux.leader

import wardmux.election.LeaderElection
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.Machine
import wardmux.scheduling.PlacementStore

/** Receives the jobs whose completion was stored. */
fun interface JobCompletionListener {
    /** Called when all tasks of [job] are done and its stored record says so. */
    fun jobCompleted(job: JobId)
}

/** Handles the results of the leader's writes. */
class PlacementWriteListener(
    private val services: ControllerServices,
    private val leadership: LeaderElection,
    private val components: LeaderComponents,
    private val completionListener: JobCompletionListener,
) : PlacementStore.Listener {
    private val log = logger<PlacementWriteListener>()

    override fun onCommitted() = components.directCommands.sendDue()

    override fun onFenced() = leadership.fenced()

    override fun onStateUnknown() = components.reload()

    override fun onJobDone(job: Job) {
        val turnaround = services.context.wallTime - job.acceptedAt
        log.info(
            "job {} is done: {} tasks of class {} for team {} took {} s, deadline: {} s",
            job.id,
            job.spec.tasks,
            job.spec.jobClass,
            job.spec.team,
            turnaround.inSeconds.toInt(),
            job.spec.deadlineS ?: "no",
        )
        completionListener.jobCompleted(job.id)
    }

    override fun onJobRecordChanged(job: Job) = components.cancellationHandler.recordChanged(job)

    override fun onDecommissionRecorded(machine: Machine) {
        machine.markDeletionDue()
    }
}
