package wardmux.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.model.JobKind
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.sim.FaultInjector

/**
 * Guards against drains that never finish or exceed a disruption budget, in simulated clusters with
 * fixed seeds: without faults, and with faults of machines, controllers, networks and the store.
 * The disruptions are counted from the records of the simulated workers, not from the controllers'.
 */
class DrainSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a drain returns all selected machines within the budgets`(seed: Long) {
        val scenario = DrainScenario(seed).startJobs().startDrain()
        assertTrue(scenario.drainedMachines.isNotEmpty())
        scenario.runUntilDone()
        scenario.assertDrained()
        assertTrue(
            scenario.disruptions.stops.isNotEmpty(),
            "expected at least one evicted task, but none was stopped",
        )
        assertEquals(scenario.drainedMachines.size, scenario.stored()?.returned)
    }

    @Test
    fun `disruptions beyond a lower limit are found in the workers' records`() {
        val scenario = DrainScenario(4, DrainSettings(budget = BudgetSettings(3, stepPauseS = 1.0)))
        scenario.startJobs(scenario.service(0, 6)).startDrain()
        scenario.runUntilDone()
        scenario.assertDrained()
        assertEquals(3, scenario.disruptions.peakOf("team-0"))
        assertTrue(scenario.disruptions.stopsOverLimit({ 2 }, 9.seconds).isNotEmpty())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `a drain during random faults breaks no invariant and exceeds no budget`(seed: Long) {
        val budget = BudgetSettings(maxDisrupted = 2, stepPauseS = 1.0)
        val scenario =
            DrainScenario(seed, DrainSettings(budget = budget), forwarding = seed % 2 == 0L)
        val services = listOf(scenario.service(0, 4), scenario.service(1, 5))
        scenario.startJobs(*services.toTypedArray(), scenario.array(2, 6, 30.0))
        scenario.startDrain()
        scenario.simulation.planLossProbability = 0.3
        val clock = scenario.clock
        val faults =
            FaultInjector(scenario.simulation) { scenario.submit(nonPreemptingJob(scenario)) }
        val kinds = faults.basicFaults + faults.networkFaults + faults.partitionFaults
        for (at in 45..170 step 12) {
            clock.after(at.seconds - clock.now) { kinds[clock.random.nextInt(kinds.size)]() }
            if (at % 3 == 0)
                clock.after(at.seconds - clock.now) { scenario.submit(nonPreemptingJob(scenario)) }
        }
        scenario.simulation.run(230.seconds)
        for (worker in scenario.workers()) worker.failsEveryTask = false
        scenario.runUntilDone(1500.seconds)
        // Commands may be delivered up to 40 s late. The leader can't know about tasks that were
        // lost in the meantime, so these don't count against the budget.
        scenario.assertDrained(detectionDelay = 45.seconds)
    }

    /**
     * A random job that ends by itself, with a priority class that preempts no other task, so that
     * only the drain evicts tasks.
     */
    private fun nonPreemptingJob(scenario: DrainScenario) =
        scenario.simulation.randomJob().let { job ->
            val isEndless = job.estimateS == 0.0
            val spec = if (isEndless) job.copy(estimateS = 8.0) else job
            val normalPriority =
                spec.copy(priority = PriorityClass.NORMAL, tasks = minOf(job.tasks, 6))
            if (isEndless) normalPriority.copy(kind = JobKind.ARRAY) else normalPriority
        }

    private companion object {
        @JvmStatic fun seeds() = (1L..14L).toList()
    }
}
