package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * Guards against gangs that wait indefinitely: small tasks take each bit of room as soon as it
 * comes free, or a gang's own aborted attempt holds what the next attempt needs.
 */
class GangReservationsTest {
    private val type = PlannerHarness.MID_SIZE_TYPE
    private val harness = PlannerHarness.withOneTeam()

    private fun gangSpec(tasks: Int) = PlannerHarness.gangSpec(tasks)

    private fun addArrayJob(tasks: Int) = harness.addJob(plainJob(tasks, "job-000002"))

    private fun Machine.occupy(cpus: Double) = harness.occupy(this, cpus)

    private fun plan() = harness.planner.plan(PageWriteBudget(7))

    @Test
    fun `several machines are reserved after the first plan without room for the gang`() {
        for (number in 1..2) harness.addMachine(number, type).occupy(cpus = 14.0)
        val gang = harness.addJob(gangSpec(tasks = 3))
        plan()
        val small = addArrayJob(tasks = 2)
        plan()
        assertEquals(0, small.placements.size, "expected no small task on a reserved machine")
        harness.addMachine(3, type)
        plan()
        assertEquals(3, gang.placements.size)
        assertEquals(2, small.placements.size)
    }

    /**
     * The state after a write of a later page of the attempt was refused, when other tasks have
     * used up the quota since.
     */
    @Test
    fun `remaining tasks of an aborted attempt are stopped even without quota for the next one`() {
        for (number in 1..2) harness.addMachine(number, type).occupy(cpus = 8.0)
        val spec = gangSpec(tasks = 8)
        val gang = harness.addJob(spec)
        plan()
        assertEquals(8, gang.placements.size)
        harness.cluster.rollBack(gang.placements.values.first())
        harness.cluster.quotaUsage.adjust(spec.copy(cpus = 700.0 - 7 * spec.cpus), 1)
        val later = harness.context.now + 60.seconds
        harness.context.setTime(later, later)
        plan()
        assertEquals(true, gang.gangAttempt?.isAborted)
        assertEquals(setOf(Micros.ZERO), gang.placements.values.map { it.gracePeriod }.toSet())
    }
}
