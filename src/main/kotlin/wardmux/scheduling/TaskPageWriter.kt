package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.records.TaskPageCodec
import wardmux.serialization.jsonBytes
import wardmux.store.KeyValueStore

/**
 * Adds to a transaction the task pages that are to be written or removed. A page is written only if
 * its key is as it was last read or written.
 */
internal class TaskPageWriter(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cluster: ClusterState,
) {
    /** Keys of pages that were too large to be written, and when they are tried again. */
    private val oversizedUntil = HashMap<String, Micros>()

    /** Adds the pages with placements that are not committed, as far as there is room. */
    fun addUncommitted(transaction: PlacementTransaction) {
        for (job in cluster.jobs.values) {
            for (page in job.pages.dirtyPages()) {
                if (!job.pages.hasUncommitted(page)) continue
                if (!transaction.hasRoomFor(writes = 1, conditions = 2)) return
                if (addPage(transaction, job, page)) {
                    transaction.requireVersion(JobRecord.key(job.id), job.version)
                } else {
                    rollBackUncommitted(job, page)
                }
            }
        }
    }

    /** No start goes out without its record. */
    private fun rollBackUncommitted(job: Job, page: Int) {
        for (placement in job.placementsOn(page)) {
            if (!placement.isCommitted) cluster.rollBack(placement)
        }
    }

    /** Adds the pages that have differed from what is stored for long enough. */
    fun addDirty(transaction: PlacementTransaction) {
        for (job in cluster.jobs.values) {
            if (!isWriteDue(job)) continue
            for (page in job.pages.dirtyPages()) {
                if (job.pages.hasUncommitted(page) || isOversized(job, page)) continue
                if (!transaction.hasRoomFor(writes = 1, conditions = 1)) return
                addPage(transaction, job, page)
            }
        }
    }

    private fun isWriteDue(job: Job): Boolean {
        val since = job.pages.dirtySince ?: return false
        return !job.hasEnded && !job.allTasksDone && context.wallTime - since >= DIRTY_PAGE_DELAY
    }

    private fun isOversized(job: Job, page: Int) =
        oversizedUntil[TaskPageCodec.key(job.id, page)]?.let { context.now < it } == true

    /** Removes the pages of ended jobs once nothing of them is left on a machine. */
    fun addRemovals(transaction: PlacementTransaction) {
        for (job in cluster.jobs.values) {
            val arePagesRemovable = job.hasEnded && job.placements.isEmpty()
            if (arePagesRemovable && !addRemovals(transaction, job)) return
        }
    }

    /** False if the transaction has no more room. */
    private fun addRemovals(transaction: PlacementTransaction, job: Job): Boolean {
        val pages = job.pages.storedPages()
        for (page in pages) {
            if (!hasRoomForRemoval(transaction, conditions = 1)) return false
            val key = TaskPageCodec.key(job.id, page)
            oversizedUntil.remove(key)
            transaction.requireVersion(key, job.pages.version(page))
            transaction.remove(key)
            transaction.removedPages.add(PlacementTransaction.RemovedPage(job, page))
        }
        if (job.isDone || job.isCancelledKeyRemoved || pages.isNotEmpty()) return true
        if (!hasRoomForRemoval(transaction, conditions = 0)) return false
        transaction.remove(JobRecord.cancelledKey(job.id))
        transaction.removedCancelledKeys.add(job)
        return true
    }

    /** Nobody waits for a removal, so it never takes what a start or an end needs. */
    private fun hasRoomForRemoval(transaction: PlacementTransaction, conditions: Int) =
        transaction.hasRoomFor(writes = 1, conditions) &&
            transaction.operations.size < store.spareWrites

    /**
     * Adds the page as it is now. False if it is larger than a value may be, as it was written
     * under higher limits: it is tried again once enough of its tasks may have ended. Until then
     * the machines keep how these ended, and the job is done by its record, which needs no page.
     */
    private fun addPage(transaction: PlacementTransaction, job: Job, page: Int): Boolean {
        val key = TaskPageCodec.key(job.id, page)
        val encoded = TaskPageCodec.encode(job, page, store.maxValueBytes)
        if (jsonBytes(encoded.data) > store.maxValueBytes) {
            oversizedUntil[key] = context.now + OVERSIZED_PAGE_RETRY_DELAY
            return false
        }
        oversizedUntil.remove(key)
        transaction.requireVersion(key, job.pages.version(page))
        transaction.put(key, encoded.data)
        val uncommitted = job.placementsOn(page).filter { !it.isCommitted }
        transaction.writtenPages.add(
            PlacementTransaction.WrittenPage(job, page, encoded.done, uncommitted)
        )
        job.pages.markClean(page)
        return true
    }

    private companion object {
        /**
         * How tasks ended is written for many at once: until then the machines keep it, and a later
         * leader is told again.
         */
        val DIRTY_PAGE_DELAY = 3.seconds
        val OVERSIZED_PAGE_RETRY_DELAY = 1.seconds
    }
}
