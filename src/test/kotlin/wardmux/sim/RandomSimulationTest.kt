package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.config.OperatorSettings
import wardmux.model.seconds

/**
 * Seeded scenarios with troubles of every kind, alone and together; the rules hold after each step.
 */
class RandomSimulationTest {
    private class Scenario(
        seed: Long,
        private val grown: Boolean = false,
        private val fleet: Boolean = false,
        private val hunted: Boolean = false,
        operators: OperatorSettings = OperatorSettings(),
    ) {
        val simulation = ClusterSimulation(seed, operators = operators)
        private val clock = simulation.clock
        val jobs = ArrayList<String>()

        private val troubles = FaultInjector(simulation, ::submit)

        private fun submit() {
            val usual = simulation.randomJob()
            // Some have long to go, for those who call them off.
            val long = hunted && usual.estimateS > 0 && usual.tasks <= 3 && clock.chance(0.5)
            val spec = if (long) usual.copy(estimateS = 100.0) else usual
            jobs.add(spec.id)
            simulation.submit(spec)
            val daemon = spec.estimateS == 0.0
            if (daemon || clock.chance(0.15)) {
                clock.after(clock.randomBetween(1.seconds, 60.seconds)) {
                    simulation.cancel(spec.id)
                }
            }
        }

        fun play(troubled: Boolean) {
            simulation.cloud.startFailureProbability = if (troubled) 0.1 else 0.0
            simulation.poll("job-999999")
            for (at in 2..150 step 7) clock.after(at.seconds) { submit() }
            if (troubled) {
                for (at in 10..170 step 9) {
                    clock.after(at.seconds) { trouble() }
                }
            }
            if (hunted) {
                simulation.store.holdsRefusedWatches = true
                clock.after(CALM) { simulation.startWorkConservationChecks() }
            }
            simulation.run(if (grown) 420.seconds else 320.seconds)
            if (grown) simulation.checkAtEnd(CALM)
        }

        private fun trouble() {
            val all =
                when {
                    hunted -> {
                        val new =
                            troubles.cancellationFaults +
                                troubles.cancellationFaults +
                                troubles.cancellationFaults
                        troubles.basicFaults +
                            troubles.networkFaults +
                            troubles.partitionFaults +
                            new
                    }
                    fleet -> {
                        val new =
                            troubles.partitionFaults +
                                troubles.partitionFaults +
                                troubles.partitionFaults
                        troubles.basicFaults + troubles.networkFaults + new
                    }
                    grown -> troubles.basicFaults + troubles.networkFaults + troubles.networkFaults
                    else -> troubles.basicFaults
                }
            all[clock.random.nextInt(all.size)]()
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken whatever fails`(seed: Long) {
        val scenario = Scenario(seed)
        scenario.play(troubled = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("grownSeeds")
    fun `nor with one-way networks, late copies, lone controllers and quick returns`(seed: Long) {
        val scenario = Scenario(seed, grown = true)
        scenario.play(troubled = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("relayedSeeds")
    fun `nor where all controllers take heartbeats`(seed: Long) {
        val scenario = Scenario(seed, grown = true, operators = forwardingSettings())
        scenario.play(troubled = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("frozenSeeds")
    fun `nor with frozen controllers and cut zones besides`(seed: Long) {
        val forwarding = forwardingSettings()
        val scenario = Scenario(seed, grown = true, fleet = true, operators = forwarding)
        scenario.play(troubled = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("huntedSeeds")
    fun `nor with late writes, old reports, cancellations and odd requests`(seed: Long) =
        hunted(seed, OperatorSettings())

    @ParameterizedTest
    @MethodSource("huntedSeeds")
    fun `nor with them where all controllers take heartbeats`(seed: Long) =
        hunted(seed, forwardingSettings())

    private fun hunted(seed: Long, operators: OperatorSettings) {
        val scenario = Scenario(seed, grown = true, hunted = true, operators = operators)
        scenario.play(troubled = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @Test
    fun `in a quiet scenario every job comes to its end`() {
        val scenario = Scenario(100)
        scenario.play(troubled = false)
        assertEquals(emptyList(), scenario.simulation.violations())
        val open = scenario.jobs.filter { scenario.simulation.invariants.finalStateOf(it) == null }
        assertEquals(emptyList(), open)
    }

    companion object {
        /** The longest trouble lasts for 78 s, and late messages come up to 45 s after theirs. */
        private val CALM = 285.seconds

        /** Others for a longer search: `-DargLine="-Dwardmux.days=100-500"`. */
        @JvmStatic fun seeds(): List<Long> = scenarios("wardmux.days", "1-24") + FOUND

        /** Likewise: `-Dwardmux.grown=100-500`. */
        @JvmStatic fun grownSeeds(): List<Long> = scenarios("wardmux.grown", "1-24")

        /** Likewise: `-Dwardmux.relayed=100-500`. */
        @JvmStatic
        fun relayedSeeds(): List<Long> = scenarios("wardmux.relayed", "1-24") + FOUND_RELAYED

        /** Likewise: `-Dwardmux.frozen=100-500`. */
        @JvmStatic fun frozenSeeds(): List<Long> = scenarios("wardmux.frozen", "1-24")

        /** Likewise: `-Dwardmux.hunted=100-500`. */
        @JvmStatic fun huntedSeeds(): List<Long> = scenarios("wardmux.hunted", "1-24")

        private fun scenarios(property: String, usual: String): List<Long> {
            val range = (System.getProperty(property) ?: usual).split('-')
            return (range.first().toLong()..range.last().toLong()).toList()
        }

        /**
         * Seeds with which a rule was once broken: a job in two zones, since a later leader did not
         * know where its tasks were (113, 184, 321); a cancelled job that stayed in memory, and so
         * on its machines, when what is stored was read twice (114, 242); a team over its cap,
         * since a later leader started again what had been released after its record was written
         * (854).
         */
        private val FOUND = listOf(113L, 114L, 184L, 242L, 321L, 854L)

        /**
         * A machine that commands did not reach was kept for ever, and with it the jobs that only
         * its kind may run, as the leader had read again what is stored (200).
         */
        private val FOUND_RELAYED = listOf(200L)
    }
}
