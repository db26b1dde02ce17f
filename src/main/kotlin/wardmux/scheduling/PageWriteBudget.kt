package wardmux.scheduling

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.Placement

/**
 * The task pages that the next transaction can still write. The planner places a task only if its
 * page is within the budget, since a start goes out only after its page is written.
 */
class PageWriteBudget(
    /** Pages that the transaction can write. */
    private val maxPages: Int,
    /** The largest value of a key, in bytes. */
    val maxBytes: Int = Int.MAX_VALUE,
) {
    private var remainingPages = maxPages
    private val reserved = HashMap<JobId, IntOpenHashSet>()

    /** Sizes of the pages that could become larger than a value may be. */
    private val sizeEstimates = HashMap<JobId, Int2ObjectOpenHashMap<PageSizeEstimate>>()

    /** True if no task of [job] can be placed: no page is left, and none of its own is reserved. */
    fun isExhaustedFor(job: Job) = remainingPages <= 0 && job.id !in reserved

    /**
     * Reserves all pages of a gang, or none. A gang with more pages than a transaction holds is
     * written in several, before any of its starts goes out; it is taken only where no other page
     * is reserved yet.
     */
    fun tryReserveGang(job: Job): Boolean {
        val ownPages = reserved.getOrPut(job.id) { IntOpenHashSet() }
        val needed = job.pages.all.filter { it !in ownPages }
        if (needed.size > remainingPages && remainingPages < maxPages) return false
        remainingPages = maxOf(0, remainingPages - needed.size)
        ownPages.addAll(needed)
        return true
    }

    /** Gives back what [tryReserveGang] reserved, as nothing of the gang is placed. */
    fun releaseGang(job: Job) {
        sizeEstimates.remove(job.id)
        remainingPages = minOf(maxPages, remainingPages + (reserved.remove(job.id)?.size ?: 0))
    }

    /** Reserves the page of [task]; false if there is no page left or this one is full. */
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

    /** True if the page of [task] can't hold it, though other pages of the job may have room. */
    fun isPageFull(job: Job, task: Int) =
        sizeEstimateOf(job, job.pages.pageOf(task))?.hasRoom(job, task) == false

    /** [placement] was made after its page was reserved. */
    fun onPlaced(placement: Placement) {
        val job = placement.job
        sizeEstimateOf(job, job.pages.pageOf(placement.task.index))?.add(placement)
    }

    /** Null if the page fits whatever is placed on it. */
    private fun sizeEstimateOf(job: Job, page: Int): PageSizeEstimate? {
        if (PageSizeEstimate.alwaysFits(job, maxBytes)) return null
        return sizeEstimates
            .getOrPut(job.id) { Int2ObjectOpenHashMap() }
            .getOrPut(page) { PageSizeEstimate(job, page, maxBytes) }
    }
}
