package wardmux.lease

import wardmux.worker.ReportedTask
import wardmux.worker.WorkerHeartbeat

/**
 * Remembers which machines were found to run no task of a cancelled job. Most heartbeats differ
 * from the previous one of the same machine only in their tick and share its list object of tasks.
 * Such heartbeats need no second check.
 */
class CheckedHeartbeats {
    /** A check of [tasks] that was made when [cancellationCount] cancellations were known. */
    private class Check(val tasks: List<ReportedTask>, val cancellationCount: Long)

    private val checksByMachine = HashMap<String, Check>()

    /**
     * Whether the tasks in [heartbeat] have already been checked against the same cancellations.
     */
    fun isKnownWithoutCancelledTasks(heartbeat: WorkerHeartbeat, cancellationCount: Long): Boolean {
        val check = checksByMachine[heartbeat.machine] ?: return false
        return check.tasks === heartbeat.tasks && check.cancellationCount == cancellationCount
    }

    /**
     * Records that no task in [heartbeat] belongs to a cancelled job, given the [cancellationCount]
     * cancellations known so far.
     */
    fun recordWithoutCancelledTasks(heartbeat: WorkerHeartbeat, cancellationCount: Long) {
        if (checksByMachine.size >= MAX_MACHINES) checksByMachine.clear()
        checksByMachine[heartbeat.machine] = Check(heartbeat.tasks, cancellationCount)
    }

    /** Forgets all checks, because another leader knows other cancellations. */
    fun clear() = checksByMachine.clear()

    private companion object {
        /**
         * Bounds the memory in use, because entries of deleted machines are not removed one by one.
         * A cluster has far fewer machines.
         */
        const val MAX_MACHINES = 20_000
    }
}
