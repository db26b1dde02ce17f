package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet

/**
 * The division of a job's tasks into pages. Each page is stored under its own key. This class also
 * tracks which pages differ from their stored form.
 *
 * The number of tasks on a page follows the settings, so that pages may have been written with
 * another number. A stored page names its tasks, and each of them stays on the page on which it was
 * read. A page is therefore always written with all tasks that the store has on it.
 */
class TaskPages(
    /**
     * The number of tasks on each page, but for those that were read on another page; the last page
     * may have fewer.
     */
    val tasksPerPage: Int,
    private val taskCount: Int,
) {
    private val displaced = DisplacedTasks()

    /** The pages and their largest size, or null if they have to be determined anew. */
    private var pagesWithDisplaced: PageSummary? = null

    /** The tasks that were read from the store. */
    private val readTasks = BitSet()
    private val keyVersions = Int2LongOpenHashMap()
    private val dirtyPageNumbers = IntOpenHashSet()
    private val recordedDone = BitSet()

    /** For each page, the number of its placements that are not committed yet. */
    private val uncommittedCounts = Int2IntOpenHashMap()

    /**
     * The time of day since which at least one page has differed from its stored form; null while
     * none does.
     */
    var dirtySince: Micros? = null
        private set

    /** The numbers of all pages that have tasks, in ascending order. */
    val all: Iterable<Int>
        get() {
            if (displaced.isEmpty) return 0..pageByNumber(taskCount - 1)
            return summary().pages
        }

    /** The largest number of tasks on a page. */
    val largestPageSize: Int
        get() = if (displaced.isEmpty) minOf(tasksPerPage, taskCount) else summary().largestSize

    /** The number of tasks that are on another page than their number and the settings say. */
    val displacedCount: Int
        get() = displaced.count

    /** True if the store holds no page of the job. */
    val hasNoStoredPages: Boolean
        get() = keyVersions.isEmpty()

    /** The number of the page that contains [task]. */
    fun pageOf(task: Int): Int = displaced.pageOf(task) ?: pageByNumber(task)

    private fun pageByNumber(task: Int) = task / tasksPerPage

    /** The numbers of the tasks on [page], in ascending order. */
    fun tasksOn(page: Int): Iterable<Int> {
        val regular = regularTasksOn(page)
        if (displaced.isEmpty) return regular
        return (regular.filter { displaced.pageOf(it) == null } + displaced.tasksOn(page)).sorted()
    }

    private fun regularTasksOn(page: Int): IntRange {
        val first = page.toLong() * tasksPerPage
        if (first >= taskCount) return IntRange.EMPTY
        return first.toInt() until minOf(first + tasksPerPage, taskCount.toLong()).toInt()
    }

    private class PageSummary(val pages: List<Int>, val largestSize: Int)

    private fun summary() = pagesWithDisplaced ?: summarize().also { pagesWithDisplaced = it }

    private fun summarize(): PageSummary {
        val numbers = (0..pageByNumber(taskCount - 1)).toSet() + displaced.pages
        val sizes = numbers.associateWith(::taskCountOn).filterValues { it > 0 }
        return PageSummary(sizes.keys.sorted(), sizes.values.max())
    }

    private fun taskCountOn(page: Int): Int =
        regularTasksOn(page).count { displaced.pageOf(it) == null } + displaced.tasksOn(page).size

    /**
     * The number of the last task on the page that contains [task], unless it was read on another
     * page.
     */
    fun lastTaskOnPageOf(task: Int): Int = regularTasksOn(pageByNumber(task)).last

    /** The numbers of the pages that differ from their stored form, in ascending order. */
    fun dirtyPages(): IntArray =
        if (dirtyPageNumbers.isEmpty()) NO_PAGES
        else dirtyPageNumbers.toIntArray().also { it.sort() }

    /** The numbers of the pages that the store holds, in ascending order. */
    fun storedPages(): IntArray = keyVersions.keys.toIntArray().also { it.sort() }

    /** The version of the key that holds [page]; [KeyVersion.ABSENT] if it is not stored. */
    fun version(page: Int) = KeyVersion(keyVersions.get(page))

    /** Returns true if [page] has a placement that is not committed. */
    fun hasUncommitted(page: Int): Boolean = uncommittedCounts.get(page) > 0

    /** Returns true if the stored page of [task] says that the task is done. */
    fun isRecordedDone(task: Int): Boolean = recordedDone.get(task)

    /** Marks [page] as different from its stored form, at the time of day [wallTime]. */
    fun markDirty(page: Int, wallTime: Micros) {
        dirtyPageNumbers.add(page)
        if (dirtySince == null) dirtySince = wallTime
    }

    internal fun markTaskDirty(task: Int, wallTime: Micros) = markDirty(pageOf(task), wallTime)

    /** Marks [page] as equal to its stored form, or to the form that is being written. */
    fun markClean(page: Int) {
        dirtyPageNumbers.remove(page)
        if (dirtyPageNumbers.isEmpty()) dirtySince = null
    }

    /** Records that [page] was written with [version] and lists the tasks in [done] as done. */
    fun onWritten(page: Int, version: KeyVersion, done: BitSet) {
        keyVersions.put(page, version.value)
        for (task in tasksOn(page)) recordedDone.clear(task)
        recordedDone.or(done)
    }

    /** Records that the store no longer holds [page]. */
    fun onRemoved(page: Int) {
        keyVersions.remove(page)
        markClean(page)
    }

    /** Records that [page] was read from the store with [version]. */
    fun onRead(page: Int, version: KeyVersion) {
        keyVersions.put(page, version.value)
    }

    /**
     * Assigns [task], which was read on [page], to that page. Returns false if another page that
     * names it was read before. Pages are read in descending order of their versions, so that the
     * newest record of a task counts.
     */
    fun assign(task: Int, page: Int): Boolean {
        if (readTasks.get(task)) return pageOf(task) == page
        readTasks.set(task)
        if (pageByNumber(task) == page) return true
        displaced.add(task, page)
        pagesWithDisplaced = null
        return true
    }

    internal fun restoreDone(task: Int) = recordedDone.set(task)

    internal fun addUncommitted(task: Int) {
        uncommittedCounts.addTo(pageOf(task), 1)
    }

    internal fun removeUncommitted(task: Int) {
        uncommittedCounts.addTo(pageOf(task), -1)
    }

    private companion object {
        val NO_PAGES = IntArray(0)
    }
}
