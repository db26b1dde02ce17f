package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.JobKind
import wardmux.model.PriorityClass
import wardmux.model.seconds

/** Work too small or too particular for the sums that hiring goes by still gets its machine. */
class SmallWorkTest {
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
        assertEquals(emptyList(), simulation.violations())
        return simulation.invariants.finalStateOf(spec.id)
    }

    @Test
    fun `one small task with no machine at all`() =
        assertEquals("done", finalStateOfSmallJob(true, null))

    @Test
    fun `one small task that may not run on spot machines`() =
        assertEquals("done", finalStateOfSmallJob(false, null))

    @Test
    fun `one small task that must be in a zone without machines`() =
        assertEquals("done", finalStateOfSmallJob(false, "c"))
}
