package wardmux.leader

import wardmux.drain.LeaderDrains
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobProgress
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.worker.WorkerHeartbeat

/**
 * One term of a leader, from its election until it is deposed. It first loads the stored state.
 * From then on it plans placements, writes them and sends commands to workers. A term that has
 * ended does nothing more.
 */
class LeaderTerm(
    private val services: ControllerServices,
    private val leadership: LeaderElection,
    role: Role.Leader,
    completionListener: JobCompletionListener,
) {
    private val context = services.context
    private val components = LeaderComponents(services, leadership, role, completionListener)
    private val cluster = components.cluster
    private val status = components.status
    private val directCommands = components.directCommands
    private var nextPreemptionAt = Micros.LONG_AGO

    /** The drains that operators requested, or null if the settings do not enable drains. */
    val drains: LeaderDrains?
        get() = components.drains

    /**
     * Whether followers are asked to answer the workers that reach them and forward the heartbeats.
     */
    val forwardingEnabled: Boolean
        get() = components.forwardingCoordinator.forwardingEnabled

    /** Ends the term permanently. Responses that arrive later are ignored. */
    fun end() {
        status.end()
        components.loader.end()
        components.storedBatchServer.close()
    }

    /**
     * Answers the request [call] with a [heartbeat] that a worker sent directly to this controller.
     */
    fun handleHeartbeat(call: Long, heartbeat: WorkerHeartbeat) {
        components.heartbeats.handle(call, heartbeat)
        components.planningLoop.planIfChanged()
    }

    /** Returns the response to a forwarder's [batch], or null if it is for another leader. */
    fun handleBatch(batch: HeartbeatBatch): HeartbeatBatchResponse? =
        components.batchHandler.handle(batch)

    /** Handles the cancellation of the job [id], which any controller may have acknowledged. */
    fun jobCancelled(id: JobId) = components.cancellationHandler.jobCancelled(id)

    /** Performs the actions that are due. The caller calls it several times a second. */
    fun tick() {
        cluster.referenceType = services.machineTypes.types?.maxByOrNull { it.cpus }
        components.pools.refreshIfDue(cluster.jobs.values)
        components.forwardingCoordinator.tick(status.isLoaded)
        components.storedBatchServer.tick()
        components.loader.tick()
        if (!status.isLoaded) return
        components.openJobWatcher.tick()
        components.healthMonitor.check()
        if (components.resignationCheck.resignIfCutOff()) return
        components.provisioner.tick(leadership.leaseIsValid)
        drains?.tick()
        preemptIfDue()
        cluster.jobs.values.removeIf { it.isRemovable }
        directCommands.sendDue()
        components.planningLoop.planAndWrite()
    }

    private fun preemptIfDue() {
        if (!leadership.leaseIsValid || context.now < nextPreemptionAt) return
        nextPreemptionAt = context.now + PREEMPTION_PERIOD
        components.preemption.preempt()
        directCommands.sendDue()
    }

    /** The progress of the jobs, limited to the first [MAX_PROGRESS_JOBS]. */
    fun progress(): List<JobProgress> =
        cluster.jobs.values.take(MAX_PROGRESS_JOBS).map { progressOf(it) }

    /** The progress of the job [id], or null if this leader does not know the job. */
    fun progressOf(id: JobId): JobProgress? = cluster.jobs[id]?.let { progressOf(it) }

    private fun progressOf(job: Job) = JobProgress(job.id.value, job.doneCount, job.running)

    private companion object {
        val PREEMPTION_PERIOD = 500.milliseconds

        /**
         * Limits the size of the heartbeats between controllers. At about 50 bytes for each job, a
         * heartbeat stays well below its maximum size. The omitted counts are only for display.
         */
        const val MAX_PROGRESS_JOBS = 5_000
    }
}
