package wardmux.lease

import wardmux.worker.ReportedTask
import wardmux.worker.WorkerHeartbeat

/**
 * Remembers machines that were found to run no task of a cancelled job. Most heartbeats differ from
 * the previous one by their tick alone and share its list of tasks: these are not checked again.
 */
class CheckedHeartbeats {
    /** [tasks] were checked when [cancellationCount] cancellations were known. */
    private class Check(val tasks: List<ReportedTask>, val cancellationCount: Long)

    private val checksByMachine = HashMap<String, Check>()

    /** Whether the tasks in [heartbeat] were checked against the same cancellations before. */
    fun isKnownWithoutCancelledTasks(heartbeat: WorkerHeartbeat, cancellationCount: Long): Boolean {
        val check = checksByMachine[heartbeat.machine] ?: return false
        return check.tasks === heartbeat.tasks && check.cancellationCount == cancellationCount
    }

    /** No task in [heartbeat] is among the cancellations known so far. */
    fun recordWithoutCancelledTasks(heartbeat: WorkerHeartbeat, cancellationCount: Long) {
        if (checksByMachine.size >= MAX_MACHINES) checksByMachine.clear()
        checksByMachine[heartbeat.machine] = Check(heartbeat.tasks, cancellationCount)
    }

    /** Forgets all checksByMachine, as another leader knows other cancellations. */
    fun clear() = checksByMachine.clear()

    private companion object {
        /** Far more machines than a cluster has; entries of deleted machines are not removed. */
        const val MAX_MACHINES = 20_000
    }
}
