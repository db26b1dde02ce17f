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

/**
 * Guards against jobs that never run, or take room from others, because their task page would be
 * too large. All tasks of a gang or service are placed at the same time, and a page names each
 * machine that they use. A page of limited size can therefore hold them only if they are on few
 * machines.
 */
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

    /**
     * Adds room for 200 small tasks on small machines, which they fit exactly, and for 128 on large
     * ones.
     */
    private fun addSmallAndLargeMachines() {
        repeat(100) { harness.addMachine(it, small) }
        repeat(2) { harness.addMachine(1000 + it, large) }
    }

    @Test
    fun `a gang is placed on few enough machines for its page`() {
        addSmallAndLargeMachines()
        val gang = addJob(JobKind.GANG, 110)
        harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT))
        assertEquals(110, gang.placements.size)
        assertTrue(
            pageBytesOf(gang) <= LOWERED_LIMIT,
            "expected at most $LOWERED_LIMIT bytes, got ${pageBytesOf(gang)}",
        )
        val stored =
            lenientJson.decodeFromJsonElement(
                StoredTaskPage.serializer(),
                TaskPageCodec.encode(gang, 0),
            )
        assertEquals(110, stored.placementsOf(gang)?.size)
    }

    @Test
    fun `replicas of a service are placed on few enough machines for their page`() {
        addSmallAndLargeMachines()
        val service = addJob(JobKind.SERVICE, 125)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT)) }
        assertEquals(125, service.placements.size)
        assertTrue(
            pageBytesOf(service) <= LOWERED_LIMIT,
            "expected at most $LOWERED_LIMIT bytes, got ${pageBytesOf(service)}",
        )
    }

    @Test
    fun `replicas that do not fit on the page wait while other replicas and jobs are placed`() {
        repeat(200) { harness.addMachine(it, small) }
        val service = addJob(JobKind.SERVICE, 120, cpus = 2.0)
        val other = addJob(JobKind.ARRAY, 5, id = 2)
        repeat(3) { harness.planner.plan(PageWriteBudget(7, LOWERED_LIMIT)) }
        assertTrue(
            service.placements.size >= 50,
            "expected at least 50 placed replicas, got ${service.placements.size}",
        )
        assertTrue(
            service.placements.size < 120,
            "expected less than 120 placed replicas, got ${service.placements.size}",
        )
        assertTrue(
            pageBytesOf(service) <= LOWERED_LIMIT,
            "expected at most $LOWERED_LIMIT bytes, got ${pageBytesOf(service)}",
        )
        assertEquals(5, other.placements.size)
    }

    /** Each task needs a machine of its own, and no page of 2 KiB can name 120 machines. */
    @Test
    fun `a gang too large for its page takes no room from other jobs`() {
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
    fun `a gang too large for its page reserves no machines and is not short of room`() {
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
        /** The size limit of a value after the store's limits are lowered, in bytes. */
        const val LOWERED_LIMIT = 2048
    }
}
