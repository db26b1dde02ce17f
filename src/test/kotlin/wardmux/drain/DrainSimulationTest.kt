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

/** Drains in seeded scenarios: without faults, and with faults of every kind. */
class DrainSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `all machines are replaced within the budgets`(seed: Long) {
        val scenario = DrainScenario(seed).begin().start()
        assertTrue(scenario.drained.isNotEmpty())
        scenario.runUntilDone()
        scenario.check()
        assertTrue(scenario.losses.stops.isNotEmpty(), "nothing was moved")
        assertEquals(scenario.drained.size, scenario.stored()?.returned)
    }

    @Test
    fun `a drain that exceeds a budget is detected by the workers' records`() {
        val scenario = DrainScenario(4, DrainSettings(budget = BudgetSettings(3, stepPauseS = 1.0)))
        scenario.begin(scenario.service(0, 6)).start()
        scenario.runUntilDone()
        scenario.check()
        assertEquals(3, scenario.losses.peakOf("team-0"))
        assertTrue(scenario.losses.beyond({ 2 }, 9.seconds).isNotEmpty())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no invariant is broken and no budget exceeded, whatever fails`(seed: Long) {
        val budget = BudgetSettings(maxDisrupted = 2, stepPauseS = 1.0)
        val scenario =
            DrainScenario(seed, DrainSettings(budget = budget), forwarding = seed % 2 == 0L)
        val services = listOf(scenario.service(0, 4), scenario.service(1, 5))
        scenario.begin(*services.toTypedArray(), scenario.array(2, 6, 30.0))
        scenario.start()
        scenario.simulation.lostPlans = 0.3
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
        for (worker in scenario.workers()) worker.sick = false
        scenario.runUntilDone(1500.seconds)
        // Commands may be 40 s on their way: what was lost meanwhile could not be known.
        scenario.check(noticedAfter = 45.seconds)
    }

    /** Of a priority class that preempts nothing: only the drain evicts work. */
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
