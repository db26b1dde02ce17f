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
 * Watches the open jobs for changes after they were loaded. Adds new jobs and stops jobs that users
 * cancelled.
 */
class OpenJobWatcher(
    private val services: ControllerServices,
    private val components: LeaderComponents,
) {
    private val context = services.context
    private val cancellations = services.cancellations
    private val cluster = components.cluster

    /**
     * The number of times the watch was stopped. The response to a watch that was opened before the
     * last stop is ignored.
     */
    private var generation = 0

    /** When to open the next watch, or null while a watch is open or the state is not loaded. */
    private var nextWatchAt: Micros? = null
    private var nextRevision = Revision.ZERO

    /** Watches for changes from [revision] on, starting at the next tick. */
    fun start(revision: Revision) {
        nextRevision = revision
        nextWatchAt = context.now
    }

    /** Ignores the response to an open watch, and opens no other until [start] is called. */
    fun stop() {
        generation++
        nextWatchAt = null
    }

    /** Opens the next watch if it is due. */
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
                // The store no longer keeps the revision, so changes may have been missed.
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
            // The open key of a job that is done was removed by this leader.
            val job = cluster.jobs[JobId(removed.removePrefix(JobRecord.OPEN_PREFIX))] ?: return
            if (job.isDone) return
            cancellations.observe(job.id)
            // A peer may have reported the cancellation during the load, before this leader knew
            // the job. Observing it again then notifies no listener, so the handler is called here.
            components.cancellationHandler.jobCancelled(job.id)
        }
    }

    private companion object {
        /**
         * Short, because a response confirms the cancellations only up to the time when the watch
         * was requested.
         */
        val WATCH_TIMEOUT = 2.seconds
        val WATCH_INTERVAL = 80.milliseconds
        val RETRY_PERIOD = 400.milliseconds
    }
}
