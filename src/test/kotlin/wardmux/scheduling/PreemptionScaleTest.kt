package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.Job
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * Guards against preemption that becomes too slow with many blocked jobs, because it examines for
 * each of them thousands of tasks that may not be stopped for it.
 */
class PreemptionScaleTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val teams = List(4) { TeamQuota("team-$it", 7_000.0, 20_000.0) }
    private val harness = PlannerHarness(teams, listOf(type), now = 100.seconds)
    private val preemption = harness.preemption()

    private fun addJob(id: Int, priority: PriorityClass, tasks: Int) =
        harness.addJob(plainJob(tasks, "job-%06d".format(id)).copy(priority = priority))

    private fun runOnFullMachines(job: Job, machines: IntRange) {
        var task = 0
        for (m in machines) {
            val machine = harness.addMachine(m, type)
            repeat(8) { harness.addRunningTask(job, task++, machine) }
        }
    }

    @Test
    fun `preemption examines only tasks that may be stopped for the blocked job`() {
        runOnFullMachines(addJob(900, PriorityClass.HIGH, 8_000), 0 until 1_000)
        runOnFullMachines(addJob(901, PriorityClass.NORMAL, 80), 1_000 until 1_010)
        repeat(100) { addJob(it, PriorityClass.HIGH, 50).blockedSince = Micros.ZERO }
        preemption.preempt()
        val stopped =
            harness.cluster.jobs.values.sumOf { j -> j.placements.values.count { it.isStopping } }
        assertEquals(80, stopped)
        assertTrue(
            preemption.placementsExamined <= 2 * 100 * 80,
            "expected at most 16000 examined placements, got ${preemption.placementsExamined}",
        )
    }
}
