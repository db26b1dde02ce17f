package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against machines that are lost before their first heartbeat and count as capacity for
 * good: no other is rented in their place, and an accepted job never runs.
 */
class LostWhileStartingTest {
    private class Scenario(seed: Long, bootTimes: ClosedRange<Micros>) {
        val simulation =
            ClusterSimulation(
                seed,
                operators = forwardingSettings(seed % 2 != 0L),
                startWithMachines = false,
            )
        val clock = simulation.clock
        val job =
            simulation
                .unconstrainedJob(JobKind.ARRAY, "team-0", 1, cpus = 16.0, estimateS = 5.0)
                .copy(spot = true)

        init {
            simulation.cloud.bootTimes = bootTimes
            clock.after(JOB_SUBMITTED) { simulation.submit(job) }
        }

        fun assertJobIsDone() {
            assertEquals(emptyList(), simulation.violations(), "violated invariants")
            assertEquals("done", simulation.invariants.finalStateOf(job.id), "state of the job")
        }
    }

    /** Takes back spot machines of this age while they start, for a time that ends by itself. */
    private fun takeStartingMachines(seed: Long, age: Micros, leaderCrashes: Boolean = false) {
        val scenario = Scenario(seed, bootTimes = 13.seconds..14.seconds)
        var taken = 0
        for (at in 0..300) {
            scenario.clock.after(JOB_SUBMITTED + (at * 100).milliseconds) {
                val before = taken
                if (taken == 0) taken += scenario.simulation.cloud.reclaimStartingSpot(age)
                if (leaderCrashes && taken > before)
                    scenario.simulation.leader()?.let { scenario.simulation.crash(it, 1.seconds) }
            }
        }
        scenario.simulation.run(JOB_SUBMITTED + 120.seconds)
        assertTrue(taken > 0, "expected a machine to be taken while it starts")
        scenario.assertJobIsDone()
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `a machine that is taken before it is listed is replaced`(seed: Long) =
        takeStartingMachines(seed, age = Micros.ZERO)

    @ParameterizedTest
    @MethodSource("seeds")
    fun `a machine that is listed and taken while it starts is replaced`(seed: Long) =
        takeStartingMachines(seed, age = 8.seconds)

    /** The next leader's first list may still contain the machine. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `a machine that is gone when the next leader reads an old list is replaced`(seed: Long) =
        takeStartingMachines(seed, age = 8.seconds, leaderCrashes = true)

    @ParameterizedTest
    @MethodSource("seeds")
    fun `a machine that starts without ever sending a heartbeat is replaced`(seed: Long) {
        val scenario = Scenario(seed, bootTimes = 1.seconds..6.seconds)
        var muted = 0
        for (at in 0..200) {
            scenario.clock.after(JOB_SUBMITTED + (at * 50).milliseconds) {
                val workers = scenario.simulation.cloud.workers()
                if (muted > 0) return@after
                muted = workers.size
                workers.forEach { it.unresponsive = true }
            }
        }
        scenario.simulation.run(JOB_SUBMITTED + 180.seconds)
        assertTrue(muted > 0, "expected a machine to start")
        scenario.assertJobIsDone()
    }

    companion object {
        private val JOB_SUBMITTED = 10.seconds

        /** Another range can be set: `-DargLine="-Dwardmux.lostWhileStarting=100-500"`. */
        @JvmStatic fun seeds(): List<Long> = seedsFrom("wardmux.lostWhileStarting", "1-6")
    }
}
