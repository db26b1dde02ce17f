package wardmux.records

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonElement
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.serialization.lenientJson
import wardmux.sim.plainJob

/**
 * Guards against lost records of tasks when the number of tasks on a page changes with the
 * settings. A leader wrote a page with only those of its tasks that belonged there by its own
 * settings, and the next leader started the others a second time.
 */
class TaskPageLayoutTest {
    /** The key-value store's pages of one job. */
    private class StoredPages(private val spec: JobSpec) {
        private class Stored(val version: Long, val data: JsonElement)

        private val pages = HashMap<Int, Stored>()
        private var revision = 0L

        /** What a leader reads whose settings put [tasksPerPage] tasks on a page. */
        fun read(tasksPerPage: Int): Job {
            val job = Job(spec, KeyVersion(1), Micros.ZERO, tasksPerPage)
            for ((page, stored) in pages.entries.sortedByDescending { it.value.version }) {
                val decoded =
                    lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), stored.data)
                TaskPageCodec.restore(job, page, KeyVersion(stored.version), decoded)
            }
            return job
        }

        /** Writes [page] of [job], whose placements are committed with it. */
        fun write(job: Job, page: Int) {
            val encoded = TaskPageCodec.encode(job, page, Int.MAX_VALUE)
            pages[page] = Stored(++revision, encoded.data)
            job.pages.onWritten(page, KeyVersion(revision), encoded.done)
            job.pages.markClean(page)
            for (placement in job.placementsOn(page)) job.commit(placement)
        }
    }

    private fun place(job: Job, task: Int) {
        val charge = Charge(Cost(1_000), 1.0)
        val machine = MachineId("i-%06d".format(task / 4))
        val attempt = job.nextAttempt(task)
        job.place(
            Placement(job, TaskId(job.id, task), attempt, machine, 1, "a", charge),
            Micros.ZERO,
        )
    }

    /** What the store has to know of a task: whether it is done, and its last attempt otherwise. */
    private fun recordOf(job: Job, task: Int): String =
        when {
            job.isTaskDone(task) -> "done"
            job.placements.containsKey(task) -> "placed, attempt ${job.lastAttempt(task)}"
            else -> "waiting, attempt ${job.lastAttempt(task)}"
        }

    @ParameterizedTest
    @MethodSource("layouts")
    fun `a page that is written under other settings keeps the records of all its tasks`(
        before: Int,
        after: Int,
    ) {
        val spec = plainJob(700)
        val store = StoredPages(spec)
        val first = store.read(before)
        for (task in 0 until 600) place(first, task)
        for (page in first.pages.dirtyPages()) store.write(first, page)
        val second = store.read(after)
        // Some task of each page ends, so that each is written, and further tasks are placed.
        for (task in 0 until 600 step 8) {
            second.complete(task, Micros.ZERO)
            second.release(second.placements.get(task), Micros.ZERO)
        }
        for (task in 600 until 700) place(second, task)
        for (page in second.pages.dirtyPages()) {
            store.write(second, page)
            val third = store.read(before)
            for (task in 0 until 600) {
                assertTrue(
                    third.isTaskDone(task) || third.placements.containsKey(task),
                    "task $task has no record after page $page was written",
                )
            }
        }
        for (next in listOf(before, after, 16)) {
            val read = store.read(next)
            for (task in 0 until 700) {
                assertEquals(recordOf(second, task), recordOf(read, task), "task $task")
            }
        }
    }

    /**
     * Leaders with random settings place, complete and release tasks at random and write some of
     * the changed pages before each crashes. What was written last of a task is what the next
     * leader reads.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `leaders with other settings read what was written last of each task`(seed: Long) {
        val random = Random(seed)
        val spec = plainJob(1 + random.nextInt(900))
        val store = StoredPages(spec)
        val written = HashMap<Int, String>()
        repeat(12) {
            val job = store.read(LAYOUTS[random.nextInt(LAYOUTS.size)])
            for ((task, record) in written) assertEquals(record, recordOf(job, task), "task $task")
            assertEquals(
                (0 until spec.tasks).toList(),
                job.pages.all.flatMap { job.pages.tasksOn(it) }.sorted(),
                "tasks of all pages",
            )
            repeat(random.nextInt(200)) { changeRandomTask(job, random) }
            for (page in job.pages.dirtyPages()) {
                if (random.nextInt(3) == 0) continue
                store.write(job, page)
                for (task in job.pages.tasksOn(page)) {
                    if (job.isTaskDone(task) || job.lastAttempt(task) > 0)
                        written[task] = recordOf(job, task)
                }
            }
        }
    }

    private fun changeRandomTask(job: Job, random: Random) {
        val task = random.nextInt(job.spec.tasks)
        val placement = job.placements.get(task)
        when {
            job.isTaskDone(task) -> return
            placement == null -> place(job, task)
            !placement.isCommitted -> return
            random.nextBoolean() -> job.release(placement, Micros.ZERO)
            else -> {
                job.complete(task, Micros.ZERO)
                job.release(placement, Micros.ZERO)
            }
        }
    }

    /** Writes of a whole large job would take minutes under the store's limit on writes. */
    @Test
    fun `reading the pages of a large job under other settings requires no writes`() {
        val spec = plainJob(25_000)
        val store = StoredPages(spec)
        val first = store.read(256)
        for (task in 0 until 20_000) place(first, task)
        for (page in first.pages.dirtyPages()) store.write(first, page)
        val second = store.read(32)
        assertEquals(20_000, second.placements.size, "placements")
        assertEquals(emptyList(), second.pages.dirtyPages().toList(), "pages to be written")
        second.complete(19_999, Micros.ZERO)
        assertEquals(1, second.pages.dirtyPages().size, "pages to be written after one change")
    }

    /**
     * An earlier version writes a task on the page that its settings say, while an older record of
     * the task is still on another page.
     */
    @Test
    fun `the newest of several records of a task counts`() {
        val store = StoredPages(plainJob(72))
        val first = store.read(256)
        for (task in 0 until 72) place(first, task)
        store.write(first, 0)
        val other = Job(plainJob(72), KeyVersion(1), Micros.ZERO, 32)
        for (task in 0 until 72) place(other, task)
        for (task in 32 until 64) {
            other.complete(task, Micros.ZERO)
            other.release(other.placements.get(task), Micros.ZERO)
        }
        store.write(other, 1)
        for (tasksPerPage in LAYOUTS) {
            val read = store.read(tasksPerPage)
            assertEquals(40, read.placements.size, "placements")
            assertTrue((32 until 64).all { read.isTaskDone(it) }, "tasks 32 to 63 are done")
        }
    }

    companion object {
        private val LAYOUTS = listOf(8, 16, 32, 128, 200, 256)

        @JvmStatic
        fun layouts() =
            LAYOUTS.flatMap { before -> LAYOUTS.map { arrayOf<Any>(before, it) } }
                .filter { it[0] != it[1] }

        @JvmStatic fun seeds() = (1L..40L).toList()
    }
}
