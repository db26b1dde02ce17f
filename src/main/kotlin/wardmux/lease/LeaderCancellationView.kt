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
 * The leader's view of cancelled tasks. It combines the placements, which record where each task
 * may be, with the cancellations that users were told of.
 *
 * A leader that does not know a cancellation cannot stop its tasks. The view therefore expires a
 * fixed time after the leader sent the request that last confirmed the view. The leader's own lease
 * does not extend it. An open watch does not extend it either, because the key-value store may have
 * stopped serving the watch. A leader that has not loaded the stored state yet renews no leases,
 * unless loading takes so long that the workers would otherwise lose their leases and all running
 * work with them.
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

    /** Whether the stored state has been loaded at least once. */
    private var wasLoaded = false

    /** Whether the stored state is known. It is not while the leader loads it again. */
    var isLoaded = false
        private set

    /** Records that the stored state has been loaded. */
    fun markLoaded() {
        isLoaded = true
        wasLoaded = true
    }

    /** Records that the stored state is no longer known and has to be loaded again. */
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

    /**
     * Starts that were sent to [machine] without confirmation and belong to cancelled jobs. While
     * the stored state is loaded again, nothing else is known about the tasks on a machine.
     */
    private fun cancelledUnconfirmedStarts(machine: MachineId): List<TaskAttempt> =
        cluster.machines[machine]?.directStarts?.unconfirmed.orEmpty().filter { attempt ->
            TaskId.parse(attempt.task)?.let { isCancelled(it.job) } == true
        }

    /**
     * Whether the task of [placement] may be on its machine and its job was cancelled too long ago
     * to renew the machine's lease once more without stopping the task.
     */
    private fun mustBeStopped(placement: Placement) =
        placement.job.isCancelled &&
            placement.mayBeStarted &&
            context.now - placement.job.cancelledSince > renewablePeriod

    /** The tasks that a forwarder has to stop during its next grant, grouped by machine. */
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
     * The ids of the cancelled jobs with tasks that may be on a machine. While the stored state is
     * not loaded, these are all cancelled jobs that are known.
     */
    fun cancelledJobs(): List<String> {
        if (!isLoaded) return cancellations.all().map { it.value }
        return cluster.jobs.values
            .filter { it.isCancelled && it.placements.isNotEmpty() }
            .map { it.id.value }
    }

    private companion object {
        /**
         * The share of a worker's lease duration that the first load of the stored state may take
         * before the leader renews leases without it.
         */
        const val MAX_LOAD_LEASE_SHARE = 0.5
    }
}
