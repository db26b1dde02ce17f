package wardmux.peers

import wardmux.core.CoreContext
import wardmux.model.JobId
import wardmux.model.Micros

/**
 * The cancellations that this process acknowledged to users, in their order, for as long as a task
 * of them can be on a machine.
 */
internal class AcknowledgedCancellations(
    private val context: CoreContext,
    private val processIncarnation: String,
    private val retention: Micros,
) {
    private class Acknowledgement(val job: JobId, val at: Micros)

    private val kept = ArrayDeque<Acknowledgement>()

    /** How many were removed because they are older than [retention]. */
    private var removed = 0L

    /** Records that the cancellation of [job] is acknowledged now; once is enough. */
    fun add(job: JobId) {
        if (kept.none { it.job == job }) kept.addLast(Acknowledgement(job, context.now))
    }

    /** What a peer that is at [cursor] does not know yet, from a process that runs for [uptime]. */
    fun updateAfter(cursor: CancellationCursor?, uptime: Micros): CancellationUpdate {
        val ours = cursor?.takeIf { it.processIncarnation == processIncarnation }
        val first = maxOf(ours?.count ?: 0, removed)
        val rest = kept.drop((first - removed).toInt())
        val jobs = rest.take(MAX_REPORTED_JOBS).map { it.job.value }
        val hasMore = rest.size > MAX_REPORTED_JOBS
        return CancellationUpdate(processIncarnation, uptime.value, first, jobs, hasMore)
    }

    /** Removes those that are too old to matter. */
    fun removeOld() {
        while (kept.isNotEmpty() && context.now - kept.first().at > retention) {
            kept.removeFirst()
            removed++
        }
    }

    private companion object {
        /** In one answer to a heartbeat. */
        const val MAX_REPORTED_JOBS = 500
    }
}
