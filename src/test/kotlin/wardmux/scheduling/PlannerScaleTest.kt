package wardmux.scheduling

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * Guards against plans that become too slow in large deployments, because they examine all machines
 * for each waiting task or job. The cost is counted in examined machines and not timed, so that the
 * result does not depend on the machine that runs the test.
 */
class PlannerScaleTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val teams = List(10) { TeamQuota("team-$it", 700.0, 12_000.0) }

    private class Plan(val machinesExamined: Long, val placed: Int)

    /**
     * Plans [jobs] jobs of [tasks] tasks each on [machines] machines, of which only [openMachines]
     * have room, with [writablePages] pages in the next transaction.
     */
    private fun plan(
        machines: Int,
        openMachines: Int,
        jobs: Int,
        tasks: Int,
        writablePages: Int,
    ): Plan {
        val random = Random(3)
        val harness = PlannerHarness(teams, listOf(type), now = 100.seconds)
        val fullMachineJob = harness.untrackedJob(plainJob(1, "job-999999").copy(cpus = 16.0))
        repeat(machines) {
            val machine = harness.addMachine(it, type)
            if (it >= openMachines) machine.add(harness.placement(fullMachineJob, it, machine))
        }
        repeat(jobs) {
            val team = teams[random.nextInt(teams.size)].name
            harness.addJob(plainJob(tasks, "job-%06d".format(it)).copy(team = team))
        }
        harness.planner.plan(PageWriteBudget(writablePages))
        val placed = harness.cluster.jobs.values.sumOf { it.placements.size }
        return Plan(harness.planner.machinesExamined, placed)
    }

    @Test
    fun `large machines are reserved only while a large job waits too long`() {
        val large = type.copy(label = "large", cpus = 64.0, memoryGb = 256.0)
        val harness = PlannerHarness(teams, listOf(type, large), now = 200.seconds)
        val machine = harness.addMachine(1, large)
        // The machine has room for the small task and not for the large one.
        val fullMachineJob = harness.untrackedJob(plainJob(1, "job-999999").copy(cpus = 40.0))
        machine.add(harness.placement(fullMachineJob, 0, machine))
        val overdue = harness.addJob(plainJob(1, "job-000001").copy(cpus = 32.0), 10.seconds)
        val small = harness.addJob(plainJob(1, "job-000002").copy(cpus = 2.0), 190.seconds)
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(0, small.placements.size, "expected no small task on a reserved machine")
        harness.cluster.jobs.remove(overdue.id)
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(1, small.placements.size)
    }

    @Test
    fun `without room no machine is examined for waiting tasks`() {
        val plan =
            plan(machines = 1500, openMachines = 0, jobs = 300, tasks = 300, writablePages = 7)
        assertEquals(0, plan.placed)
        assertEquals(0, plan.machinesExamined)
    }

    @Test
    fun `the cost does not grow with the waiting tasks or the full machines`() {
        val few =
            plan(machines = 150, openMachines = 100, jobs = 300, tasks = 30, writablePages = 7)
        val many =
            plan(machines = 1500, openMachines = 100, jobs = 300, tasks = 300, writablePages = 7)
        assertTrue(
            few.placed >= 210 && many.placed >= few.placed,
            "expected at least 210 placed tasks and no fewer with more machines, " +
                "got ${few.placed} and ${many.placed}",
        )
        assertTrue(
            many.machinesExamined < 3 * few.machinesExamined,
            "examined ${few.machinesExamined} machines for few tasks, " +
                "${many.machinesExamined} for many",
        )
    }

    @Test
    fun `each planned job examines all machines once and each placement only a few`() {
        val plan =
            plan(machines = 1500, openMachines = 1500, jobs = 300, tasks = 128, writablePages = 7)
        assertEquals(7 * 128, plan.placed)
        // Seven jobs examine all machines once; each placed task then examines two.
        assertTrue(
            plan.machinesExamined < 7 * 1500 + 4 * plan.placed,
            "machines examined: ${plan.machinesExamined}",
        )
    }
}
