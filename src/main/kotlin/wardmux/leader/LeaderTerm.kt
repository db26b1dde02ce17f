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
 * One term of a leader, from its election until it is deposed: it loads what is stored, and then
 * plans, writes and commands workers. A term that has ended does nothing more.
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

    /** Drains that operators asked for; null where these are switched off. */
    val drains: LeaderDrains?
        get() = components.drains

    /** Followers are to forward the heartbeats of the workers that reach them. */
    val forwardingEnabled: Boolean
        get() = components.forwardingCoordinator.forwardingEnabled

    /** Ends the term for good; responses that are still to come are ignored. */
    fun end() {
        status.end()
        components.loader.end()
        components.storedBatchServer.close()
    }

    /** Answers [call], a worker's heartbeat that came to this controller itself. */
    fun handleHeartbeat(call: Long, heartbeat: WorkerHeartbeat) {
        components.heartbeats.handle(call, heartbeat)
        components.planningLoop.planIfChanged()
    }

    /** The response to a forwarder's [batch]; null if it is meant for another leader. */
    fun handleBatch(batch: HeartbeatBatch): HeartbeatBatchResponse? =
        components.batchHandler.handle(batch)

    /** A user was told, by this controller or another, that the job [id] is cancelled. */
    fun jobCancelled(id: JobId) = components.cancellationHandler.jobCancelled(id)

    /** Does what is due; to be called several times a second. */
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

    /** The progress of the jobs, of the first [MAX_PROGRESS_JOBS] if there are more. */
    fun progress(): List<JobProgress> =
        cluster.jobs.values.take(MAX_PROGRESS_JOBS).map { progressOf(it) }

    /** How far the job [id] is; null if this leader does not know it. */
    fun progressOf(id: JobId): JobProgress? = cluster.jobs[id]?.let { progressOf(it) }

    private fun progressOf(job: Job) = JobProgress(job.id.value, job.doneCount, job.running)

    private companion object {
        val PREEMPTION_PERIOD = 500.milliseconds

        /**
         * At some 50 bytes for each job well below what a heartbeat between controllers may hold;
         * the counts are only for display.
         */
        const val MAX_PROGRESS_JOBS = 5_000
    }
}
