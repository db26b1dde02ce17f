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
 * Adds writes and removals of task pages to a transaction. The transaction commits only if each of
 * these pages is stored as it was last read or written.
 */
internal class TaskPageWriter(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cluster: ClusterState,
) {
    /** When pages that were too large to be written are tried again, by their keys. */
    private val oversizedUntil = HashMap<String, Micros>()

    /** Adds the pages with uncommitted placements, as far as the transaction has room. */
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

    /**
     * Rolls back the uncommitted placements on [page], which could not be written: a start must not
     * be sent before its placement is recorded.
     */
    private fun rollBackUncommitted(job: Job, page: Int) {
        for (placement in job.placementsOn(page)) {
            if (!placement.isCommitted) cluster.rollBack(placement)
        }
    }

    /**
     * Adds the changed pages of jobs whose state has differed from the stored one for at least
     * [DIRTY_PAGE_DELAY].
     */
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

    /** Adds the removal of the pages of ended jobs that have no tasks left on machines. */
    fun addRemovals(transaction: PlacementTransaction) {
        for (job in cluster.jobs.values) {
            val arePagesRemovable = job.hasEnded && job.placements.isEmpty()
            if (arePagesRemovable && !addRemovals(transaction, job)) return
        }
    }

    /** Adds the removals for one job. Returns false if the transaction has no more room. */
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

    /**
     * True if the transaction has room for a removal. Removals are not urgent, so they only use
     * spare writes and never delay starts or completions.
     */
    private fun hasRoomForRemoval(transaction: PlacementTransaction, conditions: Int) =
        transaction.hasRoomFor(writes = 1, conditions) &&
            transaction.operations.size < store.spareWrites

    /**
     * Adds the present content of a page. Returns false if it exceeds the size limit of a value,
     * which can happen if the page was written under a higher limit. The page is then tried again
     * later, when enough of its tasks may have ended. Until then the machines keep the results of
     * its tasks. The job can still be completed, because that writes only its record.
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
         * Ends of tasks are collected for this long and written together. Until then the machines
         * keep the results, and would report them again to a later leader.
         */
        val DIRTY_PAGE_DELAY = 3.seconds
        val OVERSIZED_PAGE_RETRY_DELAY = 1.seconds
    }
}
