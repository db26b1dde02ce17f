package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.serialization.lenientJson
import wardmux.sim.plainJob

/** Jobs whose tasks have to be placed together, on pages that hold them only on few machines. */
class DensePackingTest {
    private val small = MachineType("small", 2.0, memoryGb = 16.0, zones = listOf("a"))
    private val large = MachineType("large", 64.0, memoryGb = 256.0, zones = listOf("a"))
    private val teams = listOf(TeamQuota("team-0", 700.0, 12_000.0))
    private val harness = PlannerHarness(teams, listOf(small, large), now = 100.seconds)

    private fun addJob(kind: JobKind, tasks: Int, cpus: Double = 1.0, id: Int = 1) =
        harness.addJob(
            plainJob(tasks, "job-%06d".format(id)).copy(kind = kind, cpus = cpus, estimateS = 9.0)
        )

    private fun pageBytesOf(job: Job) = TaskPageCodec.encode(job, 0).toString().length

    /** As many on small machines as on large ones, which small tasks fit exactly. */
    private fun addSmallAndLargeMachines() {
        repeat(100) { harness.addMachine(it, small) }
        repeat(2) { harness.addMachine(1000 + it, large) }
    }

    @Test
    fun `a gang goes to as few machines as its page holds`() {
        addSmallAndLargeMachines()
        val gang = addJob(JobKind.GANG, 110)
        harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT))
        assertEquals(110, gang.placements.size)
        assertTrue(pageBytesOf(gang) <= LOWERED_LIMIT, "${pageBytesOf(gang)} bytes")
        val stored =
            lenientJson.decodeFromJsonElement(
                StoredTaskPage.serializer(),
                TaskPageCodec.encode(gang, 0),
            )
        assertEquals(110, stored.placementsOf(gang)?.size)
    }

    @Test
    fun `the replicas of a service go to as few machines as their page holds`() {
        addSmallAndLargeMachines()
        val service = addJob(JobKind.SERVICE, 125)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT)) }
        assertEquals(125, service.placements.size)
        assertTrue(pageBytesOf(service) <= LOWERED_LIMIT, "${pageBytesOf(service)} bytes")
    }

    @Test
    fun `replicas that do not fit wait, the others run, and other jobs are placed`() {
        repeat(200) { harness.addMachine(it, small) }
        val service = addJob(JobKind.SERVICE, 120, cpus = 2.0)
        val other = addJob(JobKind.ARRAY, 5, id = 2)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT)) }
        assertTrue(service.placements.size >= 50, "${service.placements.size} replicas")
        assertTrue(service.placements.size < 120)
        assertTrue(pageBytesOf(service) <= LOWERED_LIMIT, "${pageBytesOf(service)} bytes")
        assertEquals(5, other.placements.size)
    }

    /** One task a machine, however large it is: no page of 2 KiB names 120 machines. */
    @Test
    fun `a gang that no page holds takes nothing from others`() {
        repeat(150) { harness.addMachine(it, small) }
        val oversized = addJob(JobKind.GANG, 120, cpus = 2.0)
        val gang = addJob(JobKind.GANG, 3, id = 2)
        val other = addJob(JobKind.ARRAY, 5, id = 3)
        harness.planner.plan(PageWriteBudget(2, LOWERED_LIMIT))
        assertEquals(0, oversized.placements.size)
        assertEquals(3, gang.placements.size)
        assertEquals(5, other.placements.size)
    }

    @Test
    fun `a gang that no page holds reserves no machines and is not short of room`() {
        val smallOnly = PlannerHarness(teams, listOf(small), now = 100.seconds)
        repeat(150) { smallOnly.addMachine(it, small) }
        val fullMachineJob = smallOnly.untrackedJob(plainJob(1, "job-999999").copy(cpus = 2.0))
        for (machine in smallOnly.cluster.machines.values) machine.add(
            smallOnly.placement(fullMachineJob, 0, machine)
        )
        val spec = plainJob(120, "job-000001").copy(kind = JobKind.GANG, cpus = 2.0)
        val oversized = smallOnly.addJob(spec, acceptedAt = 1.seconds)
        val gang = smallOnly.addJob(spec.copy(id = "job-000002", tasks = 3), acceptedAt = 2.seconds)
        for (job in listOf(oversized, gang)) job.blockedSince = 10.seconds
        smallOnly.planner.plan(PageWriteBudget(7, LOWERED_LIMIT))
        assertEquals(listOf(gang), smallOnly.planner.jobsShortOfRoom())
        assertTrue(
            smallOnly.cluster.machines.values.any {
                smallOnly.planner.gangReservations.isReservedFor(gang, it)
            }
        )
    }

    private companion object {
        /** The largest value after the limits are lowered on either site. */
        const val LOWERED_LIMIT = 2048
    }
}
