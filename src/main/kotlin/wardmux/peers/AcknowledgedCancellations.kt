package wardmux.peers

import wardmux.core.CoreContext
import wardmux.model.JobId
import wardmux.model.Micros

/**
 * The cancellations that this process acknowledged to users, in the order of acknowledgement. Each
 * is kept for [retention], as long as a task of the cancelled job can be on a machine.
 */
internal class AcknowledgedCancellations(
    private val context: CoreContext,
    private val processIncarnation: String,
    private val retention: Micros,
) {
    private class Acknowledgement(val job: JobId, val acknowledgedAt: Micros)

    private val acknowledgements = ArrayDeque<Acknowledgement>()

    /** The number of acknowledgements removed because they were older than [retention]. */
    private var removedCount = 0L

    /**
     * Records that the cancellation of [job] is acknowledged now, unless it is recorded already.
     */
    fun add(job: JobId) {
        if (acknowledgements.none { it.job == job })
            acknowledgements.addLast(Acknowledgement(job, context.now))
    }

    /**
     * The acknowledgements that a peer at [cursor] does not know yet. If the cursor is null or
     * counts those of a former process, the peer knows none. [uptime] is how long this process has
     * run.
     */
    fun updateAfter(cursor: CancellationCursor?, uptime: Micros): CancellationUpdate {
        val ownCursor = cursor?.takeIf { it.processIncarnation == processIncarnation }
        val firstIndex = maxOf(ownCursor?.count ?: 0, removedCount)
        val remaining = acknowledgements.drop((firstIndex - removedCount).toInt())
        val jobs = remaining.take(MAX_REPORTED_JOBS).map { it.job.value }
        val hasMore = remaining.size > MAX_REPORTED_JOBS
        return CancellationUpdate(processIncarnation, uptime.value, firstIndex, jobs, hasMore)
    }

    /** Removes the acknowledgements that are older than [retention]. */
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
        /** The maximum number of jobs in one answer to a peer's heartbeat. */
        const val MAX_REPORTED_JOBS = 500
    }
}
