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

/**
 * Guards against a scale-in that interrupts services: if a replica were evicted while no other
 * machine has room for it and its image, or several replicas of a service at once, the service
 * would lose replicas for longer than a restart takes.
 */
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

    /** Adds an ordinary machine with this number. */
    private fun ordinaryMachine(number: Int) = harness.addMachine(number, type, spot = false)

    /** Marks the image of [service] as present on [machines]. */
    private fun markImageReady(vararg machines: Machine) {
        for (machine in machines) machine.images.markReady(
            service.image,
            service.imageGb,
            50.seconds,
        )
    }

    /** Adjusts the cordons for [surplus] machines, then evicts replicas. */
    private fun adjustForSurplus(surplus: Double) {
        harness.pools.refresh(harness.cluster.jobs.values)
        val pool = harness.pools.pools.single()
        preparation.adjustCordons(pool, harness.cluster.machines.values.toList(), surplus)
        preparation.evictReplicas()
    }

    /** All placements that are being stopped. */
    private fun stoppingReplicas() =
        harness.cluster.machines.values.flatMap { it.placements.values }.filter { it.isStopping }

    @Test
    fun `the least loaded machine is cordoned and a service loses one replica at a time`() {
        val job = harness.addJob(service)
        val leastLoaded = ordinaryMachine(1)
        val other = ordinaryMachine(2)
        repeat(2) { harness.addRunningTask(job, it, leastLoaded) }
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, other)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000003").copy(cpus = 6.0)), 0, other)
        markImageReady(leastLoaded, other)
        adjustForSurplus(1.5)
        assertTrue(leastLoaded.isScalingIn, "expected the least loaded machine to be cordoned")
        assertFalse(other.isScalingIn, "expected the machine with more load to stay in use")
        assertEquals(listOf(leastLoaded.id), stoppingReplicas().map { it.machine })
        adjustForSurplus(-1.0)
        assertFalse(
            leastLoaded.isScalingIn,
            "expected the machine to be uncordoned when capacity is short",
        )
    }

    @Test
    fun `a replica is not evicted unless another machine has room for it and its image`() {
        val job = harness.addJob(service)
        val leastLoaded = ordinaryMachine(1)
        repeat(2) { harness.addRunningTask(job, it, leastLoaded) }
        val other = ordinaryMachine(2)
        harness.addRunningTask(
            harness.addJob(plainJob(1, "job-000002").copy(cpus = 14.0)),
            0,
            other,
        )
        markImageReady(leastLoaded)
        adjustForSurplus(1.5)
        assertTrue(leastLoaded.isScalingIn, "expected the least loaded machine to be cordoned")
        assertEquals(0, stoppingReplicas().size, "evicted replicas without their image elsewhere")
        markImageReady(other)
        adjustForSurplus(0.5)
        assertEquals(1, stoppingReplicas().size, "evicted replicas with their image elsewhere")
    }

    @Test
    fun `a surplus of less than a machine cordons none, and spot machines are never cordoned`() {
        val machine = ordinaryMachine(1)
        val spot = harness.addMachine(2, type)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, machine)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000003")), 0, spot)
        adjustForSurplus(0.9)
        assertFalse(machine.isScalingIn, "expected no cordon for a surplus of 0.9 machines")
        adjustForSurplus(5.0)
        assertTrue(machine.isScalingIn, "expected a cordon for a surplus of 5 machines")
        assertFalse(spot.isScalingIn, "expected the spot machine to stay in use")
    }

    @Test
    fun `a cordoned machine gets no new task`() {
        val machine = ordinaryMachine(1)
        harness.addRunningTask(harness.addJob(plainJob(1, "job-000002")), 0, machine)
        adjustForSurplus(1.0)
        val waitingJob = harness.addJob(plainJob(1, "job-000003"))
        harness.planner.plan(PageWriteBudget(7))
        assertEquals(0, waitingJob.placements.size, "tasks placed on the cordoned machine")
    }
}
