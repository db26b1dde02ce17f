package wardmux.records

import java.util.BitSet
import kotlinx.serialization.json.JsonElement
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.KeyVersion
import wardmux.model.Placement
import wardmux.serialization.jsonBytes

/** A task page as it is to be written, and the tasks that it says are done. */
class EncodedTaskPage(val data: JsonElement, val done: BitSet)

/** Turns the state of a job's tasks into stored task pages, and back. */
object TaskPageCodec {
    /** Prefix of the keys of all task pages; a page's key is `t/<job>/<page>`. */
    const val KEY_PREFIX = "t/"

    /**
     * The most bytes that a placement takes as a rule, on a machine of its own and charged unlike
     * all others. Placements that share a machine and a charge take about a quarter of that.
     */
    const val BYTES_PER_PLACEMENT = 64

    /** At the ends of the two lists that a task moves between. */
    private const val SEPARATOR_BYTES = 4

    /** The key that holds [page] of [job]. */
    fun key(job: JobId, page: Int) = "$KEY_PREFIX${job.value}/$page"

    /** How many tasks a page has where a value holds [maxValueBytes]. */
    fun tasksPerPage(maxValueBytes: Int) = (maxValueBytes / BYTES_PER_PLACEMENT).coerceAtLeast(1)

    /** What [page] of [job] holds now, however large that is. */
    fun encode(job: Job, page: Int): JsonElement = encode(job, page, Int.MAX_VALUE).data

    /**
     * What [page] of [job] holds now, in [maxBytes] if leaving out some done tasks helps: those
     * between tasks that are not done, each of which takes two numbers. They are written among the
     * tried ones until their neighbours end, and their machines keep the result until they are
     * recorded. One that is recorded, and perhaps forgotten, is left out only where nothing of the
     * page is placed, as then nothing else would ever make room: after a failover it runs once
     * more.
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

    /** A task that was read as done has no attempt on record. */
    private fun lastAttempt(job: Job, task: Int) = maxOf(1, job.lastAttempt(task))

    /**
     * Restores [page] of [job] from what is stored with [version], and gives its placements: none
     * if [stored] is null or no page of this job, which is logged.
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
            logger<TaskPageCodec>().error("task page {} of {} can't be decoded", page, job.id)
            return emptyList()
        }
        for (i in stored.done.indices step 2) job.restoreDone(stored.done[i], stored.done[i + 1])
        for (i in stored.tried.indices step 2) {
            job.restoreInterrupted(stored.tried[i], stored.tried[i + 1])
        }
        return placements.onEach { job.restore(it) }
    }
}
