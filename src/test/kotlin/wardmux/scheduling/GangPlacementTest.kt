package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId

/** Where the tasks of a gang are placed: it starts when the last of them has its image. */
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
    fun `an empty machine that holds the image goes before a fuller one that lacks it`() {
        val fuller = harness.addMachine(1, type).also { it.occupy(cpus = 8.0) }
        val withImage = harness.addMachine(2, type).also { it.cacheImageOf(gangSpec(4)) }
        val job = harness.addJob(gangSpec(tasks = 4))
        assertEquals(setOf(withImage.id), machinesAfterPlan(job), "$fuller lacks the image")
    }

    @Test
    fun `the zone where the last image comes soonest goes before the one with the most images`() {
        val spec = gangSpec(tasks = 8).copy(oneZone = true)
        val withImage = harness.addMachine(1, type, zone = "a").also { it.cacheImageOf(spec) }
        withImage.occupy(cpus = 2.0)
        // The eighth task would wait behind another image.
        val busyFetcher = harness.addMachine(2, type, zone = "a")
        busyFetcher.images.use("another", 10 * spec.imageGb, harness.context.now)
        val idleFetcher = harness.addMachine(3, type, zone = "b")
        val job = harness.addJob(spec)
        assertEquals(setOf(idleFetcher.id), machinesAfterPlan(job))
    }

    @Test
    fun `it goes where the image has to be fetched if there is no other room`() {
        val spec = gangSpec(tasks = 8)
        val withImage = harness.addMachine(1, type).also { it.cacheImageOf(spec) }
        withImage.occupy(cpus = 12.0)
        val withoutImage = harness.addMachine(2, type)
        val job = harness.addJob(spec)
        assertEquals(setOf(withImage.id, withoutImage.id), machinesAfterPlan(job))
        assertEquals(8, job.placements.size)
    }
}
