package wardmux.scheduling

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.Placement

/**
 * The task pages that the next transaction can still write. The planner places a task only if its
 * page is within this budget, because the start of a task is sent only after its page is written.
 */
class PageWriteBudget(
    /** The number of pages that the transaction can write. */
    private val maxPages: Int,
    /** The size limit of a value in the key-value store, in bytes. */
    val maxBytes: Int = Int.MAX_VALUE,
) {
    private var remainingPages = maxPages
    private val reserved = HashMap<JobId, IntOpenHashSet>()

    /** Size estimates of the pages that could exceed [maxBytes]. */
    private val sizeEstimates = HashMap<JobId, Int2ObjectOpenHashMap<PageSizeEstimate>>()

    /**
     * True if no task of [job] can be placed: the budget has no page left, and none is reserved for
     * this job.
     */
    fun isExhaustedFor(job: Job) = remainingPages <= 0 && job.id !in reserved

    /**
     * Reserves all pages of a gang, or reserves none and returns false. A gang with more pages than
     * one transaction can write is written in several transactions, and none of its starts is sent
     * before the last of these is committed. Such a gang is accepted only while no other page is
     * reserved.
     */
    fun tryReserveGang(job: Job): Boolean {
        val ownPages = reserved.getOrPut(job.id) { IntOpenHashSet() }
        val needed = job.pages.all.filter { it !in ownPages }
        if (needed.size > remainingPages && remainingPages < maxPages) return false
        remainingPages = maxOf(0, remainingPages - needed.size)
        ownPages.addAll(needed)
        return true
    }

    /**
     * Returns the pages that [tryReserveGang] reserved to the budget. Called if no task of the gang
     * was placed.
     */
    fun releaseGang(job: Job) {
        sizeEstimates.remove(job.id)
        remainingPages = minOf(maxPages, remainingPages + (reserved.remove(job.id)?.size ?: 0))
    }

    /**
     * Reserves the page of [task]. Returns false if the budget has no page left or the page has no
     * room for the task.
     */
    fun tryReserve(job: Job, task: Int): Boolean {
        val page = job.pages.pageOf(task)
        val ownPages = reserved[job.id]
        val isReserved = ownPages != null && ownPages.contains(page)
        if (!isReserved && remainingPages <= 0) return false
        if (sizeEstimateOf(job, page)?.hasRoom(job, task) == false) return false
        if (isReserved) return true
        remainingPages--
        return reserved.getOrPut(job.id) { IntOpenHashSet() }.add(page)
    }

    /**
     * True if the page of [task] has no room for it. Other pages of the job may still have room.
     */
    fun isPageFull(job: Job, task: Int) =
        sizeEstimateOf(job, job.pages.pageOf(task))?.hasRoom(job, task) == false

    /** Adds [placement] to the size estimate of its page, which was reserved before. */
    fun onPlaced(placement: Placement) {
        val job = placement.job
        sizeEstimateOf(job, job.pages.pageOf(placement.task.index))?.add(placement)
    }

    /** The size estimate of [page], or null if the page fits whatever is placed on it. */
    private fun sizeEstimateOf(job: Job, page: Int): PageSizeEstimate? {
        if (PageSizeEstimate.alwaysFits(job, maxBytes)) return null
        return sizeEstimates
            .getOrPut(job.id) { Int2ObjectOpenHashMap() }
            .getOrPut(page) { PageSizeEstimate(job, page, maxBytes) }
    }
}
