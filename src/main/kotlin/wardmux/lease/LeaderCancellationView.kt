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
import wardmux.peers.Cancellations
import wardmux.scheduling.ClusterState

/**
 * What the leader knows of cancelled tasks: the records of where each task may be, and the
 * cancellations that users were told of.
 *
 * A leader that does not know what was cancelled can't take it down, so what it knows is usable for
 * a time that counts from when the question that told it was sent: its own lease says nothing of
 * it, and a watch that is open may be one that the service has stopped serving. One that has not
 * read yet renews only if reading takes so long that all work would be lost otherwise.
 */
class LeaderCancellationView(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val cancellations: Cancellations,
    override val token: FencingToken,
    private val workers: WorkerTiming,
) : CancellationView {
    private val renewableFor = CancellationDeadline(workers).renewableFor
    private val electedAt = context.now

    /** What is stored has been read at least once. */
    var hasRead = false

    /** What is stored is known; false also while it is read again. */
    var isLoaded = false

    override val usableUntil: Micros
        get() {
            val early = context.now - electedAt <= workers.leaseS.seconds * LATE_READING_SHARE
            if (!hasRead && early) return Micros.LONG_AGO
            return cancellations.informedAt + renewableFor
        }

    override val cancellationsLearned: Long
        get() = cancellations.learned + cluster.cancelledJobCount

    override fun isCancelled(job: JobId): Boolean {
        if (job in cancellations) return true
        val known = cluster.jobs[job] ?: return false
        return known.isCancelled
    }

    override fun mustHalt(machine: MachineId): List<TaskAttempt> {
        var attempts: ArrayList<TaskAttempt>? = null
        for (placement in cluster.placementsOn(machine)) {
            if (!isUrgent(placement)) continue
            attempts = (attempts ?: ArrayList()).also { it.add(placement.taskAttempt) }
        }
        if (!isLoaded) {
            val unconfirmedStarts = looseCancelled(machine)
            if (unconfirmedStarts.isNotEmpty())
                attempts = (attempts ?: ArrayList()).also { it.addAll(unconfirmedStarts) }
        }
        return attempts ?: emptyList()
    }

    /** While what is stored is read again, starts under way are all that is known of a machine. */
    private fun looseCancelled(machine: MachineId): List<TaskAttempt> =
        cluster.machines[machine]?.unconfirmedStarts.orEmpty().filter { attempt ->
            TaskId.parse(attempt.task)?.let { isCancelled(it.job) } == true
        }

    /** It may be on its machine, and its job was cancelled too long ago for one more lease. */
    private fun isUrgent(placement: Placement) =
        placement.job.isCancelled &&
            placement.mayBeStarted &&
            context.now - placement.job.cancelledSince > renewableFor

    /** What a relay has to halt, by machine, for as long as its next grant runs. */
    fun tasksToHalt(): List<CancelledTasks> {
        val byMachine = LinkedHashMap<MachineId, ArrayList<TaskAttempt>>()
        for (job in cluster.jobs.values) {
            if (!job.isCancelled) continue
            for (placement in job.placements.values) {
                if (!isUrgent(placement)) continue
                byMachine.getOrPut(placement.machine) { ArrayList() }.add(placement.taskAttempt)
            }
        }
        if (!isLoaded) {
            for (machine in cluster.machines.values) {
                val unconfirmedStarts = looseCancelled(machine.id)
                if (unconfirmedStarts.isNotEmpty())
                    byMachine.getOrPut(machine.id) { ArrayList() }.addAll(unconfirmedStarts)
            }
        }
        return byMachine.map { (machine, tasks) -> CancelledTasks(machine.value, tasks) }
    }

    /**
     * Cancelled jobs of which something may be on a machine; all that are known until it is read.
     */
    fun cancelledJobs(): List<String> {
        if (!isLoaded) return cancellations.all().map { it.value }
        return cluster.jobs.values
            .filter { it.isCancelled && it.placements.isNotEmpty() }
            .map { it.id.value }
    }

    private companion object {
        const val LATE_READING_SHARE = 0.5
    }
}
