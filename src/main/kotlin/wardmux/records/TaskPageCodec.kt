package wardmux.records

import java.util.BitSet
import kotlinx.serialization.json.JsonElement
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.KeyVersion
import wardmux.model.Placement
import wardmux.serialization.jsonBytes

/** A task page in its stored form ([data]) and the tasks that it lists as done ([done]). */
class EncodedTaskPage(val data: JsonElement, val done: BitSet)

/** Encodes the state of a job's tasks as stored task pages, and restores it from them. */
object TaskPageCodec {
    /** The key prefix of all task pages. The key of a page is `t/<job>/<page>`. */
    const val KEY_PREFIX = "t/"

    /**
     * The usual maximum number of bytes of a placement, which is reached if it shares neither its
     * machine nor its charge with other placements. Placements that share both take about a quarter
     * of that.
     */
    const val BYTES_PER_PLACEMENT = 64

    /**
     * The maximum number of separator bytes that change at the ends of the list of done tasks and
     * of the list of tried tasks when a task is moved from the first to the second.
     */
    private const val SEPARATOR_BYTES = 4

    /** The key that holds [page] of [job]. */
    fun key(job: JobId, page: Int) = "$KEY_PREFIX${job.value}/$page"

    /** The number of tasks per page if a stored value may have up to [maxValueBytes] bytes. */
    fun tasksPerPage(maxValueBytes: Int) = (maxValueBytes / BYTES_PER_PLACEMENT).coerceAtLeast(1)

    /** Encodes the current state of [page] of [job], without a size limit. */
    fun encode(job: Job, page: Int): JsonElement = encode(job, page, Int.MAX_VALUE).data

    /**
     * Encodes the current state of [page] of [job]. If it exceeds [maxBytes], single done tasks
     * between tasks that are not done are omitted from the list of done tasks, as far as needed,
     * because each of them takes two numbers there. The result may still exceed [maxBytes].
     *
     * An omitted task is listed among the tried tasks until its neighbours end too, and its machine
     * keeps the result until the task is recorded as done. A task that the store already lists as
     * done may have been forgotten by its machine. It is omitted only if no placement of the page
     * is committed, because then nothing else would ever reduce the size of the page. After a
     * failover such a task runs once more.
     */
    fun encode(job: Job, page: Int, maxBytes: Int): EncodedTaskPage {
        val doneRuns = job.doneRunsOn(page)
        val complete = encode(job, page, doneRuns, BitSet())
        var excessBytes = jsonBytes(complete.data) - maxBytes
        if (excessBytes <= 0) return complete
        val omitted = BitSet()
        val nothingPlaced = job.placementsOn(page).none { it.isCommitted }
        val candidates =
            doneRuns
                .filter { it.first == it.last && !job.placements.containsKey(it.first) }
                .map { it.first }
                .filter { nothingPlaced || !job.pages.isRecordedDone(it) }
        for (task in candidates.sortedBy { job.pages.isRecordedDone(it) }) {
            if (excessBytes + SEPARATOR_BYTES <= 0) break
            omitted.set(task)
            excessBytes -= task.toString().length - lastAttempt(job, task).toString().length
        }
        return encode(job, page, doneRuns, omitted)
    }

    private fun encode(
        job: Job,
        page: Int,
        doneRuns: List<IntRange>,
        omitted: BitSet,
    ): EncodedTaskPage {
        val kept = doneRuns.filter { !omitted.get(it.first) }
        val tried = ArrayList<Int>()
        for (task in job.pages.tasksOn(page)) {
            if (omitted.get(task) || job.isInterrupted(task)) {
                tried.add(task)
                tried.add(lastAttempt(job, task))
            }
        }
        val done = BitSet().apply { for (run in kept) set(run.first, run.last + 1) }
        val doneBounds = kept.flatMap { listOf(it.first, it.last) }
        return EncodedTaskPage(
            StoredTaskPage.encode(doneBounds, job.placementsOn(page), tried),
            done,
        )
    }

    /**
     * The last attempt of [task], at least 1: a task that was read as done has no known attempt.
     */
    private fun lastAttempt(job: Job, task: Int) = maxOf(1, job.lastAttempt(task))

    /**
     * Restores [page] of [job] from [stored], which was read with the key version [version], and
     * returns its placements. If [stored] is null or is not a valid page of this job, an error is
     * logged and the list is empty.
     *
     * The pages of a job have to be restored in descending order of their versions. A task may be
     * on several pages if controllers with different settings wrote them, and its newest record is
     * the one that counts.
     */
    fun restore(
        job: Job,
        page: Int,
        version: KeyVersion,
        stored: StoredTaskPage?,
    ): List<Placement> {
        job.pages.onRead(page, version)
        val placements = stored?.placementsOf(job)
        if (placements == null) {
            logger<TaskPageCodec>().error("failed to decode task page {} of job {}", page, job.id)
            return emptyList()
        }
        for (i in stored.done.indices step 2) {
            for (task in stored.done[i]..stored.done[i + 1]) {
                if (job.pages.assign(task, page)) job.restoreDone(task)
            }
        }
        for (i in stored.tried.indices step 2) {
            val task = stored.tried[i]
            if (job.pages.assign(task, page)) job.restoreInterrupted(task, stored.tried[i + 1])
        }
        return placements
            .filter { job.pages.assign(it.task.index, page) }
            .onEach { job.restore(it) }
    }
}
