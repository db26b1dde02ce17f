package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayList

/**
 * The tasks of a job that the store has on another page than their number says by the present
 * settings, because the settings were others when the page was first written.
 */
internal class DisplacedTasks {
    private val pageByTask = Int2IntOpenHashMap().apply { defaultReturnValue(NO_PAGE) }
    private val tasksByPage = Int2ObjectOpenHashMap<IntArrayList>()

    /** True if there is no such task, which is the case unless the settings have changed. */
    val isEmpty: Boolean
        get() = pageByTask.isEmpty()

    /** The number of these tasks. */
    val count: Int
        get() = pageByTask.size

    /** The pages with such tasks. */
    val pages: Collection<Int>
        get() = tasksByPage.keys

    /** The page of [task], or null if it is where its number says. */
    fun pageOf(task: Int): Int? {
        if (pageByTask.isEmpty()) return null
        return pageByTask.get(task).takeIf { it != NO_PAGE }
    }

    /** The tasks on [page] that belong elsewhere by their numbers, in the order of [add]. */
    fun tasksOn(page: Int): List<Int> = tasksByPage.get(page) ?: emptyList()

    /** Adds [task], which is on [page]. */
    fun add(task: Int, page: Int) {
        pageByTask.put(task, page)
        tasksByPage.computeIfAbsent(page) { IntArrayList() }.add(task)
    }

    private companion object {
        const val NO_PAGE = -1
    }
}
