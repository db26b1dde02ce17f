package wardmux.cloud

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.scheduling.PageWriteBudget
import wardmux.scheduling.PlannerHarness
import wardmux.sim.plainJob

/** Surplus machines are cordoned, and no replica is evicted that has no place elsewhere. */
class ScaleInPreparationTest {
    private val type =
        MachineType("mid", 16.0, memoryGb = 64.0, cacheGb = 50.0, zones = listOf("a", "b"))
    private val teams = listOf(TeamQuota("team-0", 700.0, 700.0))
    private val harness = PlannerHarness(teams, listOf(type), now = 100.seconds)
    private val preparation =
        ScaleInPreparation(
            harness.context,
            harness.cluster,
            harness.planner.eligibility,
            harness.evictor,
        )
    private val service =
        plainJob(2, "job-000001")
            .copy(
                kind = JobKind.SERVICE,
                priority = PriorityClass.PROD,
                spot = false,
                estimateS = 0.0,
            )

    private fun ordinary(number: Int) = harness.addMachine(number, type, spot = false)

    private fun haveImage(vararg machines: Machine) {
        for (machine in machines) machine.images.markReady(
            service.image,
            service.imageGb,
            50.seconds,
        )
    }

    private fun adjust(surplus: Double) {
        harness.pools.refresh(harness.cluster.jobs.values)
        val pool = harness.pools.pools.single()
        preparation.adjust(pool, harness.cluster.machines.values.toList(), surplus)
        preparation.moveReplicas()
    }

    private fun stopping() =
        harness.cluster.machines.values.flatMap { it.placements.values }.filter { it.isStopping }

    @Test
    fun `the machine with least on it is cordoned, and one replica of a service is evicted at a time`() {
        val job = harness.addJob(service)
        val sparse = ordinary(1)
        val other = ordinary(2)
        repeat(2) { harness.addRunningTask(job, it, sparse) }
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, other)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000003").copy(cpus = 6.0)), 0, other)
        haveImage(sparse, other)
        adjust(1.5)
        assertTrue(sparse.isScalingIn)
        assertFalse(other.isScalingIn)
        assertEquals(listOf(sparse.id), stopping().map { it.machine })
        adjust(-1.0)
        assertFalse(sparse.isScalingIn, "it is uncordoned where capacity is short")
    }

    @Test
    fun `a replica stays where no other machine has room and its image`() {
        val job = harness.addJob(service)
        val sparse = ordinary(1)
        repeat(2) { harness.addRunningTask(job, it, sparse) }
        val other = ordinary(2)
        harness.addRunningTask(
            harness.addJob(plainJob(1, "job-000002").copy(cpus = 14.0)),
            0,
            other,
        )
        haveImage(sparse)
        adjust(1.5)
        assertTrue(sparse.isScalingIn)
        assertEquals(0, stopping().size, "its image is nowhere else")
        haveImage(other)
        adjust(0.5)
        assertEquals(1, stopping().size)
    }

    @Test
    fun `nothing is cordoned for less than a machine, and no spot machine`() {
        val machine = ordinary(1)
        val spot = harness.addMachine(2, type)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, machine)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000003")), 0, spot)
        adjust(0.9)
        assertFalse(machine.isScalingIn)
        adjust(5.0)
        assertTrue(machine.isScalingIn)
        assertFalse(spot.isScalingIn)
    }

    @Test
    fun `a cordoned machine gets no new task`() {
        val machine = ordinary(1)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, machine)
        adjust(1.0)
        val waits = harness.addJob(plainJob(1, "job-000003"))
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(0, waits.placements.size)
    }
}
