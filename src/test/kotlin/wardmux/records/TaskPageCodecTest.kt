package wardmux.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonElement
import wardmux.jobs.Submission
import wardmux.jobs.SubmissionReader
import wardmux.jobs.submission
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.scheduling.PageWriteBudget
import wardmux.serialization.jsonBytes
import wardmux.serialization.lenientJson

/**
 * Guards against task pages that exceed the store's limit on the size of a value, which could never
 * be written, and against pages that are restored differently from how they were written.
 */
class TaskPageCodecTest {
    @Test
    fun `the fullest page of the largest job fits into a value under small and large limits`() {
        val submitted = SubmissionReader.read(submission()) as Submission.WellFormed
        val spec = submitted.spec.copy(tasks = JobSpec.MAX_TASKS)
        for (limit in listOf(8 * 1024, 16 * 1024)) {
            val tasksPerPage = TaskPageCodec.tasksPerPage(limit)
            val job = Job(spec, KeyVersion(1), Micros.ZERO, tasksPerPage)
            val lastPage = (spec.tasks - 1) / tasksPerPage
            for (task in lastPage * tasksPerPage until spec.tasks) job.place(
                largestPlacement(job, task),
                Micros.ZERO,
            )
            for (task in 0 until tasksPerPage) job.place(largestPlacement(job, task), Micros.ZERO)
            for (page in listOf(0, lastPage)) {
                assertTrue(
                    TaskPageCodec.encode(job, page).toString().length <= limit,
                    "page $page of $tasksPerPage tasks exceeds the limit of $limit bytes",
                )
            }
            val stored =
                lenientJson.decodeFromJsonElement(
                    StoredTaskPage.serializer(),
                    TaskPageCodec.encode(job, 0),
                )
            val restored = Job(spec, KeyVersion(1), Micros.ZERO, tasksPerPage)
            assertEquals(
                tasksPerPage,
                TaskPageCodec.restore(restored, 0, KeyVersion(1), stored).size,
            )
        }
    }

    @Test
    fun `no more tasks are placed than fit into a page under a lowered value limit`() {
        val submitted = SubmissionReader.read(submission()) as Submission.WellFormed
        val spec = submitted.spec.copy(tasks = 300)
        for (limit in listOf(1024, 2048)) {
            for (tasksPerMachine in listOf(1, 3, 16)) {
                val job =
                    Job(spec, KeyVersion(1), Micros.ZERO, TaskPageCodec.tasksPerPage(16 * 1024))
                // Places tasks in two rounds. After each round every second task completes and the
                // others are interrupted, which makes the page as large as possible.
                repeat(2) {
                    val budget = PageWriteBudget(7, limit)
                    for (task in 0 until spec.tasks) {
                        if (job.isTaskDone(task) || job.placements.containsKey(task)) continue
                        if (!budget.tryReserve(job, task)) continue
                        val placement =
                            largePlacement(job, task, job.nextAttempt(task), task / tasksPerMachine)
                        job.place(placement, Micros.ZERO)
                        budget.onPlaced(placement)
                    }
                    assertTrue(
                        job.placements.size > 4,
                        "expected more than 4 placements with a limit of $limit bytes and " +
                            "$tasksPerMachine tasks per machine, but got ${job.placements.size}",
                    )
                    assertFits(job, limit)
                    for (placement in job.placements.values.toList()) {
                        if (placement.task.index % 2 == 0) {
                            job.complete(placement.task.index, Micros.ZERO)
                        }
                        job.release(placement, Micros.ZERO)
                    }
                    assertFits(job, limit)
                }
            }
        }
    }

    /**
     * A page that was written under a higher limit on the value size may exceed a lowered limit:
     * here every second task of a page is done and the others were interrupted, and all task
     * numbers exceed 1,000. Each round places and completes the tasks that the page has room for.
     * After every fourth round a new leader continues from the stored page.
     */
    @Test
    fun `a page of which every second task is done is written until all are done`() {
        val submitted = SubmissionReader.read(submission()) as Submission.WellFormed
        val spec = submitted.spec.copy(tasks = 1280)
        val page = 4
        val tasks = 1024 until 1280
        val done = tasks.filter { it % 2 == 0 }.flatMap { listOf(it, it) }
        val tried = tasks.filter { it % 2 == 1 }.flatMap { listOf(it, 2) }
        var stored = decode(StoredTaskPage.encode(done, emptyList(), tried))
        assertTrue(encodedBytes(stored) > LOWERED_LIMIT_BYTES, "the page does not exceed the limit")
        var job = restoredJob(spec, stored, page)
        // The tasks that are recorded as done, whose results the machines may have forgotten.
        val forgotten = tasks.filterTo(HashSet()) { job.isRecordedDone(it) }
        for (round in 0 until 200) {
            val budget = PageWriteBudget(7, LOWERED_LIMIT_BYTES)
            for (task in tasks) {
                if (job.isTaskDone(task) || job.placements.containsKey(task)) continue
                if (!budget.tryReserve(job, task)) continue
                val placement = largePlacement(job, task, job.nextAttempt(task), task)
                job.place(placement, Micros.ZERO)
                budget.onPlaced(placement)
            }
            assertTrue(
                job.placements.isNotEmpty(),
                "expected placements in round $round, but none was possible",
            )
            stored = encodeAndMarkWritten(job, page)
            for (placement in job.placements.values.toList()) {
                job.commit(placement)
                job.complete(placement.task.index, Micros.ZERO)
                job.release(placement, Micros.ZERO)
            }
            stored = encodeAndMarkWritten(job, page)
            tasks.filterTo(forgotten) { job.isRecordedDone(it) }
            val doneTasks = tasks.filter { job.isTaskDone(it) }
            if (doneTasks.size == tasks.count()) return
            if (round % 4 == 3) {
                val previousJob = job
                job = restoredJob(spec, stored, page)
                for (task in doneTasks) {
                    assertEquals(
                        previousJob.isRecordedDone(task),
                        job.isTaskDone(task),
                        "done state of task $task after the failover",
                    )
                    assertTrue(
                        job.isTaskDone(task) || job.nextAttempt(task) > 1,
                        "task $task is neither done nor known as attempted",
                    )
                    // A machine that has not forgotten the result reports it to the new leader.
                    // Otherwise the task runs once more.
                    if (task !in forgotten) job.complete(task, Micros.ZERO)
                }
            }
        }
        error("expected all tasks of the page to be done after 200 rounds, but some are not")
    }

    /**
     * Encodes the page within the lowered limit and marks it as written. Returns the stored page.
     */
    private fun encodeAndMarkWritten(job: Job, page: Int): StoredTaskPage {
        val content = TaskPageCodec.encode(job, page, LOWERED_LIMIT_BYTES)
        assertTrue(
            jsonBytes(content.data) <= LOWERED_LIMIT_BYTES,
            "page $page takes ${jsonBytes(content.data)} bytes, " +
                "expected at most $LOWERED_LIMIT_BYTES",
        )
        job.pages.onWritten(page, KeyVersion(1), content.done)
        return decode(content.data)
    }

    private fun decode(data: JsonElement) =
        lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), data)

    private fun encodedBytes(page: StoredTaskPage) =
        jsonBytes(lenientJson.encodeToJsonElement(StoredTaskPage.serializer(), page))

    /** A job as a new leader restores it from the [stored] page. */
    private fun restoredJob(spec: JobSpec, stored: StoredTaskPage, page: Int) =
        Job(spec, KeyVersion(1), Micros.ZERO, TaskPageCodec.tasksPerPage(16 * 1024)).also {
            TaskPageCodec.restore(it, page, KeyVersion(1), stored)
        }

    private fun assertFits(job: Job, limit: Int) {
        for (page in 0..1) {
            val bytes = TaskPageCodec.encode(job, page).toString().length
            assertTrue(bytes <= limit, "page $page takes $bytes bytes, expected at most $limit")
        }
    }

    /** A placement that takes many bytes, on the given machine. */
    private fun largePlacement(job: Job, task: Int, attempt: Int, machine: Int) =
        Placement(
            job,
            TaskId(job.id, task),
            attempt,
            MachineId("i-${100_000 + machine}"),
            1_000_000,
            "buda-hall",
            Charge(Cost(9_999_000_000), 1230.0 + machine % 3),
        )

    /** A placement with the largest usual field values, on a machine of its own. */
    private fun largestPlacement(job: Job, task: Int) =
        Placement(
            job,
            TaskId(job.id, task),
            1_000_000,
            MachineId("i-${10_000_000 + task}"),
            1_000_000,
            "a-zone-of-some-length",
            Charge(Cost(999_999_000_000 + task), 1230.0 + task % 9),
        )

    private companion object {
        /** The lowered limit on the size of a value. */
        const val LOWERED_LIMIT_BYTES = 2048
    }
}
