package wardmux.lease

import wardmux.worker.ReportedTask
import wardmux.worker.WorkerHeartbeat

/**
 * Machines whose reported tasks were found free of cancelled jobs. Most reports differ from the one
 * before by their tick alone and share its list of tasks: these are not looked through again.
 */
class CheckedHeartbeats {
    /** [tasks] were held against so many cancellations. */
    private class Check(val tasks: List<ReportedTask>, val cancellations: Long)

    private val checks = HashMap<String, Check>()

    /** Whether nothing in [report] was cancelled when so many [cancellations] were known. */
    fun isFree(report: WorkerHeartbeat, cancellations: Long): Boolean {
        val check = checks[report.machine] ?: return false
        return check.tasks === report.tasks && check.cancellations == cancellations
    }

    /** Nothing in [report] is cancelled; so many [cancellations] are known. */
    fun foundFree(report: WorkerHeartbeat, cancellations: Long) {
        if (checks.size >= MOST_MACHINES) checks.clear()
        checks[report.machine] = Check(report.tasks, cancellations)
    }

    /** Another leader knows other cancellations. */
    fun clear() = checks.clear()

    private companion object {
        /** Far more than there are; machines that are gone are not told apart. */
        const val MOST_MACHINES = 20_000
    }
}
