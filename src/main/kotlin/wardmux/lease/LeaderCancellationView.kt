package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskAttempt
import wardmux.model.TaskId
import wardmux.model.seconds
import wardmux.peers.CancellationTracker
import wardmux.scheduling.ClusterState

/**
 * The leader's view of cancelled tasks: the records of where each task may be, and the
 * cancellations that users were told of.
 *
 * A leader that does not know of a cancellation can't stop its tasks, so the view expires a fixed
 * time after the request was sent that last confirmed it. The leader's own lease does not extend
 * it, and neither does an open watch, which the key-value store may have stopped serving. A leader
 * that has not loaded the stored state yet renews leases only once loading takes so long that all
 * work would be lost otherwise.
 */
class LeaderCancellationView(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val cancellations: CancellationTracker,
    override val token: FencingToken,
    private val workers: WorkerTiming,
) : CancellationView {
    private val renewablePeriod = CancellationDeadline(workers).renewablePeriod
    private val electedAt = context.now

    /** The stored state has been loaded at least once. */
    private var wasLoaded = false

    /** Whether the stored state is known; false also while it is loaded again. */
    var isLoaded = false
        private set

    /** The stored state has been loaded. */
    fun markLoaded() {
        isLoaded = true
        wasLoaded = true
    }

    /** The stored state is not known any more and has to be loaded again. */
    fun markStale() {
        isLoaded = false
    }

    override val usableUntil: Micros
        get() {
            val isFirstLoadOnTime =
                context.now - electedAt <= workers.leaseS.seconds * MAX_LOAD_LEASE_SHARE
            if (!wasLoaded && isFirstLoadOnTime) return Micros.LONG_AGO
            return cancellations.completeUntil + renewablePeriod
        }

    override val cancellationCount: Long
        get() = cancellations.observedCount + cluster.cancelledJobCount

    override fun isCancelled(job: JobId): Boolean {
        if (job in cancellations) return true
        val known = cluster.jobs[job] ?: return false
        return known.isCancelled
    }

    override fun tasksToStop(machine: MachineId): List<TaskAttempt> {
        var attempts: ArrayList<TaskAttempt>? = null
        for (placement in cluster.placementsOn(machine)) {
            if (!mustBeStopped(placement)) continue
            attempts = (attempts ?: ArrayList()).also { it.add(placement.taskAttempt) }
        }
        if (!isLoaded) {
            val unconfirmed = cancelledUnconfirmedStarts(machine)
            if (unconfirmed.isNotEmpty())
                attempts = (attempts ?: ArrayList()).also { it.addAll(unconfirmed) }
        }
        return attempts ?: emptyList()
    }

    /** While the stored state is loaded again, only unconfirmed starts are known of a machine. */
    private fun cancelledUnconfirmedStarts(machine: MachineId): List<TaskAttempt> =
        cluster.machines[machine]?.unconfirmedStarts.orEmpty().filter { attempt ->
            TaskId.parse(attempt.task)?.let { isCancelled(it.job) } == true
        }

    /** It may be on its machine, and its job was cancelled too long ago for one more lease. */
    private fun mustBeStopped(placement: Placement) =
        placement.job.isCancelled &&
            placement.mayBeStarted &&
            context.now - placement.job.cancelledSince > renewablePeriod

    /** The tasks that a forwarder has to stop while its next grant runs, by machine. */
    fun tasksToStop(): List<CancelledTasks> {
        val byMachine = LinkedHashMap<MachineId, ArrayList<TaskAttempt>>()
        for (job in cluster.jobs.values) {
            if (!job.isCancelled) continue
            for (placement in job.placements.values) {
                if (!mustBeStopped(placement)) continue
                byMachine.getOrPut(placement.machine) { ArrayList() }.add(placement.taskAttempt)
            }
        }
        if (!isLoaded) {
            for (machine in cluster.machines.values) {
                val unconfirmed = cancelledUnconfirmedStarts(machine.id)
                if (unconfirmed.isNotEmpty())
                    byMachine.getOrPut(machine.id) { ArrayList() }.addAll(unconfirmed)
            }
        }
        return byMachine.map { (machine, tasks) -> CancelledTasks(machine.value, tasks) }
    }

    /**
     * Cancelled jobs of which something may be on a machine; while the stored state is not loaded,
     * all cancelled jobs that are known.
     */
    fun cancelledJobs(): List<String> {
        if (!isLoaded) return cancellations.all().map { it.value }
        return cluster.jobs.values
            .filter { it.isCancelled && it.placements.isNotEmpty() }
            .map { it.id.value }
    }

    private companion object {
        /** A first load that takes longer than this share of a worker's lease is late. */
        const val MAX_LOAD_LEASE_SHARE = 0.5
    }
}
