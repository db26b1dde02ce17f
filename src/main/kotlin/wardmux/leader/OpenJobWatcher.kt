package wardmux.leader

import wardmux.model.JobId
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.WatchEvent

/**
 * Follows the changes to the open jobs after they were loaded: adds new jobs, and stops those that
 * users cancelled.
 */
class OpenJobWatcher(
    private val services: ControllerServices,
    private val components: LeaderComponents,
) {
    private val context = services.context
    private val cancellations = services.cancellations
    private val cluster = components.cluster

    /** Counts the loads that were begun again: the response to an earlier watch is dropped. */
    private var generation = 0

    /** When to watch next; null while a watch is open or nothing is loaded. */
    private var nextWatchAt: Micros? = null
    private var nextRevision = Revision.ZERO

    /** Watches from [revision] on, beginning at the next tick. */
    fun start(revision: Revision) {
        nextRevision = revision
        nextWatchAt = context.now
    }

    /** Ignores an open watch; there is no other until [start]. */
    fun stop() {
        generation++
        nextWatchAt = null
    }

    /** Opens a watch that is due. */
    fun tick() {
        nextWatchAt?.let { if (context.now >= it) watch() }
    }

    private fun watch() {
        nextWatchAt = null
        val watchGeneration = generation
        val sentAt = context.now
        services.store.watch(
            JobRecord.OPEN_PREFIX,
            nextRevision,
            WATCH_TIMEOUT,
            RequestPriority.LEADER,
        ) { result ->
            if (components.status.isEnded || watchGeneration != generation) return@watch
            when (result) {
                is StoreResult.Ok -> {
                    nextRevision = maxOf(nextRevision, result.value.revision)
                    for (event in result.value.events) apply(event)
                    cancellations.recordStoreRead(asOf = sentAt)
                    nextWatchAt = context.now + WATCH_INTERVAL
                    components.planningLoop.planAndWrite()
                }
                // The revision is no longer kept, so changes may have been missed.
                is StoreResult.InvalidRequest,
                is StoreResult.Compacted -> components.reload()
                else -> nextWatchAt = context.now + RETRY_PERIOD
            }
        }
    }

    private fun apply(event: WatchEvent) {
        val put = event.put
        val removed = event.remove
        if (put != null && event.data != null) {
            JobRecord.decode(event.data)?.let { components.jobs.add(it, event.version) }
        } else if (removed != null) {
            // Of a job that is done it was this leader that removed it.
            val job = cluster.jobs[JobId(removed.removePrefix(JobRecord.OPEN_PREFIX))] ?: return
            if (job.isDone) return
            cancellations.observe(job.id)
            // A peer may have reported it during the load, before the job was known here; then
            // learning it has no effect.
            components.cancellationHandler.jobCancelled(job.id)
        }
    }

    private companion object {
        /** Short, because what is known of cancellations is as old as the watch's request. */
        val WATCH_TIMEOUT = 2.seconds
        val WATCH_INTERVAL = 80.milliseconds
        val RETRY_PERIOD = 400.milliseconds
    }
}
