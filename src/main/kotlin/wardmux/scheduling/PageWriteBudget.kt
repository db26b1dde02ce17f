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
    private var remaining = maxPages
    private val reserved = HashMap<JobId, IntOpenHashSet>()

    /** Sizes of the pages that could become larger than a value may be. */
    private val sizes = HashMap<JobId, Int2ObjectOpenHashMap<PageSizeEstimate>>()

    /** True if no task of [job] can be placed: no page is left, and none of its own is reserved. */
    fun isExhaustedFor(job: Job) = remaining <= 0 && job.id !in reserved

    /**
     * Reserves all pages of a gang, or none. A gang with more pages than a transaction holds is
     * written in several, before any of its starts goes out; it is taken only where no other page
     * is reserved yet.
     */
    fun tryReserveGang(job: Job): Boolean {
        val own = reserved.getOrPut(job.id) { IntOpenHashSet() }
        val needed = job.pages.all.filter { it !in own }
        if (needed.size > remaining && remaining < maxPages) return false
        remaining = maxOf(0, remaining - needed.size)
        own.addAll(needed)
        return true
    }

    /** Gives back what [tryReserveGang] reserved, as nothing of the gang is placed. */
    fun releaseGang(job: Job) {
        sizes.remove(job.id)
        remaining = minOf(maxPages, remaining + (reserved.remove(job.id)?.size ?: 0))
    }

    /** Reserves the page of [task]; false if there is no page left or this one is full. */
    fun tryReserve(job: Job, task: Int): Boolean {
        val page = job.pages.pageOf(task)
        val own = reserved[job.id]
        val isReserved = own != null && own.contains(page)
        if (!isReserved && remaining <= 0) return false
        if (sizeOf(job, page)?.hasRoom(job, task) == false) return false
        if (isReserved) return true
        remaining--
        return reserved.getOrPut(job.id) { IntOpenHashSet() }.add(page)
    }

    /** True if the page of [task] can't hold it, though other pages of the job may have room. */
    fun isPageFull(job: Job, task: Int) =
        sizeOf(job, job.pages.pageOf(task))?.hasRoom(job, task) == false

    /** [placement] was made after its page was reserved. */
    fun onPlaced(placement: Placement) {
        val job = placement.job
        sizeOf(job, job.pages.pageOf(placement.task.index))?.add(placement)
    }

    /** Null if the page fits whatever is placed on it. */
    private fun sizeOf(job: Job, page: Int): PageSizeEstimate? {
        if (PageSizeEstimate.alwaysFits(job, maxBytes)) return null
        return sizes
            .getOrPut(job.id) { Int2ObjectOpenHashMap() }
            .getOrPut(page) { PageSizeEstimate(job, page, maxBytes) }
    }
}
