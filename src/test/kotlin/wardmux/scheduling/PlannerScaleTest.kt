package wardmux.scheduling

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.sim.plainJob

/** What a plan costs at the size of large deployments, counted and not timed. */
class PlannerScaleTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val teams = List(10) { TeamQuota("team-$it", 700.0, 12_000.0) }

    private class Plan(val machinesExamined: Long, val placed: Int)

    /**
     * Plans [jobs] jobs of [tasks] tasks on [machines] machines of which [openMachines] have room.
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
    fun `large machines are left to a large job that waits too long, and only to such`() {
        val large = type.copy(label = "large", cpus = 64.0, memoryGb = 256.0)
        val harness = PlannerHarness(teams, listOf(type, large), now = 200.seconds)
        val machine = harness.addMachine(1, large)
        // Room for one small task is there, and not for the large one.
        val fullMachineJob = harness.untrackedJob(plainJob(1, "job-999999").copy(cpus = 40.0))
        machine.add(harness.placement(fullMachineJob, 0, machine))
        val overdue = harness.addJob(plainJob(1, "job-000001").copy(cpus = 32.0), 10.seconds)
        val small = harness.addJob(plainJob(1, "job-000002").copy(cpus = 2.0), 190.seconds)
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(0, small.placements.size, "it took room on a reserved machine")
        harness.cluster.jobs.remove(overdue.id)
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(1, small.placements.size)
    }

    @Test
    fun `without room, waiting tasks cost no examination of any machine`() {
        val plan =
            plan(machines = 1500, openMachines = 0, jobs = 300, tasks = 300, writablePages = 7)
        assertEquals(0, plan.placed)
        assertEquals(0, plan.machinesExamined)
    }

    @Test
    fun `the cost grows neither with the tasks that wait nor with the machines that are full`() {
        val few =
            plan(machines = 150, openMachines = 100, jobs = 300, tasks = 30, writablePages = 7)
        val many =
            plan(machines = 1500, openMachines = 100, jobs = 300, tasks = 300, writablePages = 7)
        assertTrue(few.placed >= 210 && many.placed >= few.placed)
        assertTrue(
            many.machinesExamined < 3 * few.machinesExamined,
            "${few.machinesExamined} and ${many.machinesExamined}",
        )
    }

    @Test
    fun `a placement examines a few machines, and each kind of waiting work all machines once`() {
        val plan =
            plan(machines = 1500, openMachines = 1500, jobs = 300, tasks = 128, writablePages = 7)
        assertEquals(7 * 128, plan.placed)
        // Seven jobs examine all machines; then each task examines two.
        assertTrue(plan.machinesExamined < 7 * 1500 + 4 * plan.placed, "${plan.machinesExamined}")
    }
}
