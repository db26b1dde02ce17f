package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.Job
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * Guards against renting machines that stay empty: scale-out must count only the waiting tasks that
 * the job's pages can hold now, as the other tasks cannot be placed whatever room there is.
 */
class PageSizeEstimateTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val teams = listOf(TeamQuota("team-0", 700.0, 12_000.0))
    private val harness = PlannerHarness(teams, listOf(type), now = 100.seconds)

    private fun placeableTasks(job: Job, tasksPerMachine: Int) =
        PageSizeEstimate.placeableTasks(job, tasksPerMachine, MAX_BYTES)

    private fun planUntilPagesAreFull() =
        repeat(20) { harness.planner.plan(PageWriteBudget(7, MAX_BYTES)) }

    private fun checkEstimate(cpus: Double, tasksPerMachine: Int) {
        val job = harness.addJob(plainJob(120).copy(cpus = cpus, memoryGb = 1.0))
        val expected = placeableTasks(job, tasksPerMachine)
        repeat(120) { harness.addMachine(it, type) }
        planUntilPagesAreFull()
        val placed = job.placements.size
        assertTrue(placed < 120, "the page holds all tasks, so the test has no effect")
        assertTrue(
            expected in placed * 3 / 4..placed * 5 / 4,
            "expected about $expected placed tasks, got $placed",
        )
        assertEquals(
            0,
            placeableTasks(job, tasksPerMachine),
            "expected no placeable task on a full page",
        )
    }

    @Test
    fun `the estimate matches the placed tasks with one task on each machine`() =
        checkEstimate(cpus = 16.0, tasksPerMachine = 1)

    @Test
    fun `the estimate matches the placed tasks with two tasks on each machine`() =
        checkEstimate(cpus = 8.0, tasksPerMachine = 2)

    @Test
    fun `all waiting tasks are counted if the pages of the job always fit`() {
        val job = harness.addJob(plainJob(19).copy(cpus = 16.0))
        assertEquals(19, placeableTasks(job, 1))
    }

    private companion object {
        const val MAX_BYTES = 2000
    }
}
