package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet

/**
 * The division of a job's tasks into pages. Each page is stored under its own key. This class also
 * tracks which pages differ from their stored form.
 */
class TaskPages(
    /** The number of tasks on each page; the last page may have fewer. */
    val tasksPerPage: Int,
    private val taskCount: Int,
) {
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

    /** The numbers of all pages. */
    val all: IntRange
        get() = 0..(taskCount - 1) / tasksPerPage

    /** True if the store holds no page of the job. */
    val hasNoStoredPages: Boolean
        get() = keyVersions.isEmpty()

    /** The number of the page that contains [task]. */
    fun pageOf(task: Int): Int = task / tasksPerPage

    /** The numbers of the tasks on [page]. */
    fun tasksOn(page: Int): IntRange {
        val first = page * tasksPerPage
        return first until minOf(first + tasksPerPage, taskCount)
    }

    /** The number of the last task on the page that contains [task]. */
    fun lastTaskOnPageOf(task: Int): Int =
        minOf((task / tasksPerPage + 1) * tasksPerPage, taskCount) - 1

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
        recordedDone.clear(page * tasksPerPage, (page + 1) * tasksPerPage)
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

    internal fun restoreDone(first: Int, last: Int) = recordedDone.set(first, last + 1)

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
