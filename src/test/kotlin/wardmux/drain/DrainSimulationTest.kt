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

/** Drains on seeded days: calm ones, and ones with troubles of every kind. */
class DrainSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `all machines are replaced within the budgets`(seed: Long) {
        val day = DrainScenario(seed).begin().start()
        assertTrue(day.drained.isNotEmpty())
        day.runUntilDone()
        day.check()
        assertTrue(day.losses.stops.isNotEmpty(), "nothing was moved")
        assertEquals(day.drained.size, day.stored()?.returned)
    }

    @Test
    fun `a drain that goes beyond a budget is caught by the workers' records`() {
        val day = DrainScenario(4, DrainSettings(budget = BudgetSettings(3, stepPauseS = 1.0)))
        day.begin(day.service(0, 6)).start()
        day.runUntilDone()
        day.check()
        assertEquals(3, day.losses.peakOf("team-0"))
        assertTrue(day.losses.beyond({ 2 }, 9.seconds).isNotEmpty())
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken and no budget passed, whatever fails`(seed: Long) {
        val budget = BudgetSettings(maxDisrupted = 2, stepPauseS = 1.0)
        val day = DrainScenario(seed, DrainSettings(budget = budget), relays = seed % 2 == 0L)
        val services = listOf(day.service(0, 4), day.service(1, 5))
        day.begin(*services.toTypedArray(), day.array(2, 6, 30.0))
        day.start()
        day.simulation.lostPlans = 0.3
        val clock = day.clock
        val faults = FaultInjector(day.simulation) { day.submit(calmJob(day)) }
        val kinds = faults.basicFaults + faults.networkFaults + faults.partitionFaults
        for (at in 45..170 step 12) {
            clock.after(at.seconds - clock.now) { kinds[clock.random.nextInt(kinds.size)]() }
            if (at % 3 == 0) clock.after(at.seconds - clock.now) { day.submit(calmJob(day)) }
        }
        day.simulation.run(230.seconds)
        for (worker in day.workers()) worker.sick = false
        day.runUntilDone(1500.seconds)
        // Commands may be 40 s on their way: what was lost meanwhile could not be known.
        day.check(noticedAfter = 45.seconds)
    }

    /** Of a class that stops no other for its room: only the drain moves work. */
    private fun calmJob(day: DrainScenario) =
        day.simulation.randomJob().let { job ->
            val isEndless = job.estimateS == 0.0
            val spec = if (isEndless) job.copy(estimateS = 8.0) else job
            val plain = spec.copy(urgency = PriorityClass.NORMAL, tasks = minOf(job.tasks, 6))
            if (isEndless) plain.copy(shape = JobKind.ARRAY) else plain
        }

    private companion object {
        @JvmStatic fun seeds() = (1L..14L).toList()
    }
}
