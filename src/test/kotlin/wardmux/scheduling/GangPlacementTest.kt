package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId

/**
 * Guards against gangs that start late because of a badly chosen machine: a gang starts only when
 * its last task has its image, so one slow fetch delays all tasks.
 */
class GangPlacementTest {
    private val type = PlannerHarness.MID_SIZE_TYPE
    private val harness = PlannerHarness.withOneTeam()

    private fun gangSpec(tasks: Int) = PlannerHarness.gangSpec(tasks)

    private fun Machine.occupy(cpus: Double) = harness.occupy(this, cpus)

    private fun Machine.cacheImageOf(spec: JobSpec) =
        images.markReady(spec.image, spec.imageGb, harness.context.now)

    private fun machinesAfterPlan(job: Job): Set<MachineId> {
        harness.planner.plan(PageWriteBudget(7))
        return job.placements.values.mapTo(HashSet()) { it.machine }
    }

    @Test
    fun `an empty machine with the image is preferred to a fuller one without it`() {
        val fuller = harness.addMachine(1, type).also { it.occupy(cpus = 8.0) }
        val withImage = harness.addMachine(2, type).also { it.cacheImageOf(gangSpec(4)) }
        val job = harness.addJob(gangSpec(tasks = 4))
        assertEquals(
            setOf(withImage.id),
            machinesAfterPlan(job),
            "expected only the machine with the image; ${fuller.id} lacks it",
        )
    }

    @Test
    fun `the zone where the last image arrives first is preferred to one with more images`() {
        val spec = gangSpec(tasks = 8).copy(oneZone = true)
        val withImage = harness.addMachine(1, type, zone = "a").also { it.cacheImageOf(spec) }
        withImage.occupy(cpus = 2.0)
        // The eighth task would have to wait until another image is fetched.
        val busyFetcher = harness.addMachine(2, type, zone = "a")
        busyFetcher.images.recordUse("another", 10 * spec.imageGb, harness.context.now)
        val idleFetcher = harness.addMachine(3, type, zone = "b")
        val job = harness.addJob(spec)
        assertEquals(setOf(idleFetcher.id), machinesAfterPlan(job))
    }

    @Test
    fun `a gang also uses machines without the image if there is no other room`() {
        val spec = gangSpec(tasks = 8)
        val withImage = harness.addMachine(1, type).also { it.cacheImageOf(spec) }
        withImage.occupy(cpus = 12.0)
        val withoutImage = harness.addMachine(2, type)
        val job = harness.addJob(spec)
        assertEquals(setOf(withImage.id, withoutImage.id), machinesAfterPlan(job))
        assertEquals(8, job.placements.size)
    }
}
