package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId

/** Where the tasks of a gang are placed: it starts when the last of them has its image. */
class GangPlacementTest {
    private val type = PlannerHarness.MID
    private val harness = PlannerHarness.ofOneTeam()

    private fun gang(tasks: Int) = PlannerHarness.gang(tasks)

    private fun Machine.occupy(cpus: Double) = harness.occupy(this, cpus)

    private fun Machine.hold(spec: JobSpec) =
        images.markReady(spec.image, spec.imageGb, harness.context.now)

    private fun machinesOf(job: Job): Set<MachineId> {
        harness.planner.plan(PageWriteBudget(7))
        return job.placements.values.mapTo(HashSet()) { it.machine }
    }

    @Test
    fun `an empty machine that holds the image goes before a fuller one that lacks it`() {
        val fuller = harness.machine(1, type).also { it.occupy(cpus = 8.0) }
        val holds = harness.machine(2, type).also { it.hold(gang(4)) }
        val job = harness.job(gang(tasks = 4))
        assertEquals(setOf(holds.id), machinesOf(job), "$fuller lacks the image")
    }

    @Test
    fun `the zone where the last image comes soonest goes before the one with the most images`() {
        val spec = gang(tasks = 8).copy(oneZone = true)
        val holds = harness.machine(1, type, zone = "a").also { it.hold(spec) }
        holds.occupy(cpus = 2.0)
        // The eighth task would wait behind another image.
        val late = harness.machine(2, type, zone = "a")
        late.images.recordUse("another", 10 * spec.imageGb, harness.context.now)
        val soon = harness.machine(3, type, zone = "b")
        val job = harness.job(spec)
        assertEquals(setOf(soon.id), machinesOf(job))
    }

    @Test
    fun `it goes where the image has to be fetched if there is no other room`() {
        val spec = gang(tasks = 8)
        val holds = harness.machine(1, type).also { it.hold(spec) }
        holds.occupy(cpus = 12.0)
        val lacks = harness.machine(2, type)
        val job = harness.job(spec)
        assertEquals(setOf(holds.id, lacks.id), machinesOf(job))
        assertEquals(8, job.placements.size)
    }
}
