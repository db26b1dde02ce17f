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
    private class Acknowledgement(val job: JobId, val acknowledgedAt: Micros)

    private val acknowledgements = ArrayDeque<Acknowledgement>()

    /** How many were removed because they are older than [retention]. */
    private var removedCount = 0L

    /** Records that the cancellation of [job] is acknowledged now; once is enough. */
    fun add(job: JobId) {
        if (acknowledgements.none { it.job == job })
            acknowledgements.addLast(Acknowledgement(job, context.now))
    }

    /** What a peer that is at [cursor] does not know yet, from a process that runs for [uptime]. */
    fun updateAfter(cursor: CancellationCursor?, uptime: Micros): CancellationUpdate {
        val ownCursor = cursor?.takeIf { it.processIncarnation == processIncarnation }
        val firstIndex = maxOf(ownCursor?.count ?: 0, removedCount)
        val remaining = acknowledgements.drop((firstIndex - removedCount).toInt())
        val jobs = remaining.take(MAX_REPORTED_JOBS).map { it.job.value }
        val hasMore = remaining.size > MAX_REPORTED_JOBS
        return CancellationUpdate(processIncarnation, uptime.value, firstIndex, jobs, hasMore)
    }

    /** Removes those that are too old to matter. */
    fun removeExpired() {
        while (
            acknowledgements.isNotEmpty() &&
                context.now - acknowledgements.first().acknowledgedAt > retention
        ) {
            acknowledgements.removeFirst()
            removedCount++
        }
    }

    private companion object {
        /** In one answer to a heartbeat. */
        const val MAX_REPORTED_JOBS = 500
    }
}
