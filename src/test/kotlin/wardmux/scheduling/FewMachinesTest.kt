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

/** Jobs whose tasks have to be out together, on pages that hold them on few machines only. */
class FewMachinesTest {
    private val small = MachineType("small", 2.0, memoryGb = 16.0, zones = listOf("a"))
    private val large = MachineType("large", 64.0, memoryGb = 256.0, zones = listOf("a"))
    private val teams = listOf(TeamQuota("team-0", 700.0, 12_000.0))
    private val harness = PlannerHarness(teams, listOf(small, large), now = 100.seconds)

    private fun job(kind: JobKind, tasks: Int, cpus: Double = 1.0, id: Int = 1) =
        harness.job(
            plainJob(tasks, "job-%06d".format(id)).copy(kind = kind, cpus = cpus, estimateS = 9.0)
        )

    private fun bytesOf(job: Job) = TaskPageCodec.encode(job, 0).toString().length

    /** As many on small machines as on large ones, which small tasks fit exactly. */
    private fun smallAndLarge() {
        repeat(100) { harness.machine(it, small) }
        repeat(2) { harness.machine(1000 + it, large) }
    }

    @Test
    fun `a gang goes to as few machines as its page holds`() {
        smallAndLarge()
        val gang = job(JobKind.GANG, 110)
        harness.planner.plan(PageWriteBudget(7, LOWERED))
        assertEquals(110, gang.placements.size)
        assertTrue(bytesOf(gang) <= LOWERED, "${bytesOf(gang)} bytes")
        val stored =
            lenientJson.decodeFromJsonElement(
                StoredTaskPage.serializer(),
                TaskPageCodec.encode(gang, 0),
            )
        assertEquals(110, stored.placementsOf(gang)?.size)
    }

    @Test
    fun `so do the replicas of a service`() {
        smallAndLarge()
        val service = job(JobKind.SERVICE, 125)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED)) }
        assertEquals(125, service.placements.size)
        assertTrue(bytesOf(service) <= LOWERED, "${bytesOf(service)} bytes")
    }

    @Test
    fun `replicas that do not fit wait, the others run, and other jobs are placed`() {
        repeat(200) { harness.machine(it, small) }
        val service = job(JobKind.SERVICE, 120, cpus = 2.0)
        val other = job(JobKind.ARRAY, 5, id = 2)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED)) }
        assertTrue(service.placements.size >= 50, "${service.placements.size} replicas")
        assertTrue(service.placements.size < 120)
        assertTrue(bytesOf(service) <= LOWERED, "${bytesOf(service)} bytes")
        assertEquals(5, other.placements.size)
    }

    /** One task a machine, however large it is: no page of 2 KiB names 120 machines. */
    @Test
    fun `a gang that no page holds takes nothing from others`() {
        repeat(150) { harness.machine(it, small) }
        val never = job(JobKind.GANG, 120, cpus = 2.0)
        val gang = job(JobKind.GANG, 3, id = 2)
        val other = job(JobKind.ARRAY, 5, id = 3)
        harness.planner.plan(PageWriteBudget(2, LOWERED))
        assertEquals(0, never.placements.size)
        assertEquals(3, gang.placements.size)
        assertEquals(5, other.placements.size)
    }

    @Test
    fun `nor does it keep room, hires or stops for itself`() {
        val only = PlannerHarness(teams, listOf(small), now = 100.seconds)
        repeat(150) { only.machine(it, small) }
        val full = only.untrackedJob(plainJob(1, "job-999999").copy(cpus = 2.0))
        for (machine in only.cluster.machines.values) machine.add(only.placement(full, 0, machine))
        val spec = plainJob(120, "job-000001").copy(kind = JobKind.GANG, cpus = 2.0)
        val never = only.job(spec, acceptedAt = 1.seconds)
        val gang = only.job(spec.copy(id = "job-000002", tasks = 3), acceptedAt = 2.seconds)
        for (job in listOf(never, gang)) job.blockedSince = 10.seconds
        only.planner.plan(PageWriteBudget(7, LOWERED))
        assertEquals(listOf(gang), only.planner.jobsShortOfRoom())
        assertTrue(
            only.cluster.machines.values.any {
                only.planner.gangReservations.isReservedFor(gang, it)
            }
        )
    }

    private companion object {
        /** The largest value after the limits are lowered on either site. */
        const val LOWERED = 2048
    }
}
