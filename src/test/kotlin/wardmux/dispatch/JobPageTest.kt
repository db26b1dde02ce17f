package wardmux.dispatch

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.MachineId
import wardmux.Micros
import wardmux.Stamp
import wardmux.TaskId
import wardmux.fleet.Placement
import wardmux.intake.Submission
import wardmux.intake.SubmissionReader
import wardmux.intake.submission
import wardmux.store.lenientJson

class JobPageTest {
    @Test
    fun `the fullest page of the largest job fits a value, on small and large limits`() {
        val read = SubmissionReader.read(submission()) as Submission.Good
        val spec = read.spec.copy(tasks = SubmissionReader.MAX_TASKS)
        for (limit in listOf(8 * 1024, 16 * 1024)) {
            val size = Job.pageSize(limit)
            val job = Job(spec, Stamp(1), Micros.ZERO, size)
            val last = (spec.tasks - 1) / size
            for (task in last * size until spec.tasks) job.place(widest(job, task), Micros.ZERO)
            for (task in 0 until size) job.place(widest(job, task), Micros.ZERO)
            for (page in listOf(0, last)) {
                assertTrue(job.page(page).toString().length <= limit, "page $page of $size tasks")
            }
            val stored = lenientJson.decodeFromJsonElement(StoredPage.serializer(), job.page(0))
            assertEquals(size, Job(spec, Stamp(1), Micros.ZERO, size).load(0, 1, stored).size)
        }
    }

    private fun widest(job: Job, task: Int) =
        Placement(
            job,
            TaskId(job.id, task),
            1_000_000,
            MachineId("i-${10_000_000 + task}"),
            1_000_000,
            "a-zone-of-some-length",
            Charge(Cost(999_999_000_000 + task), 1230.0 + task % 9),
        )
}
