package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.JobKind
import wardmux.model.PriorityClass
import wardmux.model.seconds

/**
 * Guards against a single small task that never runs because the totals from which the scheduler
 * derives the machines to rent are too small, or its placement constraints too narrow, to rent one
 * for it.
 */
class SmallWorkTest {
    /**
     * Submits a job with one task of 1 CPU and 3 s to a cluster without machines and returns its
     * final state, or null if it has not ended.
     *
     * @param spot whether the task may run on spot machines
     * @param zone the zone in which the task must run, or null for any
     */
    private fun finalStateOfSmallJob(spot: Boolean, zone: String?): String? {
        val simulation = ClusterSimulation(5, startWithMachines = false)
        val spec =
            simulation
                .randomJob()
                .unconstrained()
                .copy(
                    kind = JobKind.ARRAY,
                    priority = PriorityClass.NORMAL,
                    tasks = 1,
                    cpus = 1.0,
                    zone = zone,
                    spot = spot,
                    estimateS = 3.0,
                )
        simulation.run(5.seconds)
        simulation.submit(spec)
        simulation.run(120.seconds)
        assertEquals(emptyList(), simulation.violations(), "violated invariants")
        return simulation.invariants.finalStateOf(spec.id)
    }

    @Test
    fun `a machine is rented for one small task in a cluster without machines`() =
        assertEquals("done", finalStateOfSmallJob(true, null))

    @Test
    fun `a machine is rented for one small task that may not run on spot machines`() =
        assertEquals("done", finalStateOfSmallJob(false, null))

    @Test
    fun `a machine is rented for one small task in a zone without machines`() =
        assertEquals("done", finalStateOfSmallJob(false, "c"))
}
