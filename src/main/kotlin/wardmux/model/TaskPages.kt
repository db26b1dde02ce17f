package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet

/**
 * How the tasks of a job are divided into pages, each of which is stored under a key of its own,
 * and how far what is stored agrees with the job.
 */
class TaskPages(
    /** Tasks on each page but the last, which may have fewer. */
    val tasksPerPage: Int,
    private val taskCount: Int,
) {
    private val keyVersions = Int2LongOpenHashMap()
    private val dirtyPageNumbers = IntOpenHashSet()
    private val recordedDone = BitSet()

    /** Placements of each page that no write holds yet. */
    private val uncommittedCounts = Int2IntOpenHashMap()

    /** Since when a page has differed from what is stored of it; null while none does. */
    var dirtySince: Micros? = null
        private set

    /** The numbers of all pages. */
    val all: IntRange
        get() = 0..(taskCount - 1) / tasksPerPage

    /** True if no page of the job is stored. */
    val hasNoStoredPages: Boolean
        get() = keyVersions.isEmpty()

    /** The page of [task]. */
    fun pageOf(task: Int): Int = task / tasksPerPage

    /** The tasks on [page]. */
    fun tasksOn(page: Int): IntRange {
        val first = page * tasksPerPage
        return first until minOf(first + tasksPerPage, taskCount)
    }

    /** The last task on the page of [task]. */
    fun lastTaskOnPageOf(task: Int): Int =
        minOf((task / tasksPerPage + 1) * tasksPerPage, taskCount) - 1

    /** The pages that differ from what is stored of them, ascending. */
    fun dirtyPages(): IntArray =
        if (dirtyPageNumbers.isEmpty()) NO_PAGES
        else dirtyPageNumbers.toIntArray().also { it.sort() }

    /** The pages of which something is stored, ascending. */
    fun storedPages(): IntArray = keyVersions.keys.toIntArray().also { it.sort() }

    /** The version of the key that holds [page]; [KeyVersion.ABSENT] if it is not stored. */
    fun version(page: Int) = KeyVersion(keyVersions.get(page))

    /** True if [page] has a placement that is not committed. */
    fun hasUncommitted(page: Int): Boolean = uncommittedCounts.get(page) > 0

    /** True if the stored page of [task] says that it is done. */
    fun isRecordedDone(task: Int): Boolean = recordedDone.get(task)

    /** [page] differs from what is stored of it, at time of day [wallTime]. */
    fun markDirty(page: Int, wallTime: Micros) {
        dirtyPageNumbers.add(page)
        if (dirtySince == null) dirtySince = wallTime
    }

    internal fun markTaskDirty(task: Int, wallTime: Micros) = markDirty(pageOf(task), wallTime)

    /** [page] is as it is stored, or is being written as it is. */
    fun markClean(page: Int) {
        dirtyPageNumbers.remove(page)
        if (dirtyPageNumbers.isEmpty()) dirtySince = null
    }

    /** [page] is stored with [version], and says that of its tasks [done] are done. */
    fun onWritten(page: Int, version: KeyVersion, done: BitSet) {
        keyVersions.put(page, version.value)
        recordedDone.clear(page * tasksPerPage, (page + 1) * tasksPerPage)
        recordedDone.or(done)
    }

    /** [page] is no longer stored. */
    fun onRemoved(page: Int) {
        keyVersions.remove(page)
        markClean(page)
    }

    /** [page] was found stored with [version]. */
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
