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
        private val withNetworkFaults: Boolean = false,
        private val withPartitionFaults: Boolean = false,
        private val withCancellationFaults: Boolean = false,
        operators: OperatorSettings = OperatorSettings(),
    ) {
        val simulation = ClusterSimulation(seed, operators = operators)
        private val clock = simulation.clock
        val jobs = ArrayList<String>()

        private val faults = FaultInjector(simulation, ::submit)

        private fun submit() {
            val randomJob = simulation.randomJob()
            // Some have long to go, for those who call them off.
            val isLong =
                withCancellationFaults &&
                    randomJob.estimateS > 0 &&
                    randomJob.tasks <= 3 &&
                    clock.chance(0.5)
            val spec = if (isLong) randomJob.copy(estimateS = 100.0) else randomJob
            jobs.add(spec.id)
            simulation.submit(spec)
            val isService = spec.estimateS == 0.0
            if (isService || clock.chance(0.15)) {
                clock.after(clock.randomBetween(1.seconds, 60.seconds)) {
                    simulation.cancel(spec.id)
                }
            }
        }

        fun run(withFaults: Boolean) {
            simulation.cloud.startFailureProbability = if (withFaults) 0.1 else 0.0
            simulation.poll("job-999999")
            for (at in 2..150 step 7) clock.after(at.seconds) { submit() }
            if (withFaults) {
                for (at in 10..170 step 9) {
                    clock.after(at.seconds) { injectRandomFault() }
                }
            }
            if (withCancellationFaults) {
                simulation.store.holdsRefusedWatches = true
                clock.after(FAULTS_END) { simulation.startWorkConservationChecks() }
            }
            simulation.run(if (withNetworkFaults) 420.seconds else 320.seconds)
            if (withNetworkFaults) simulation.checkAtEnd(FAULTS_END)
        }

        private fun injectRandomFault() {
            val possibleFaults =
                when {
                    withCancellationFaults -> {
                        val weightedFaults =
                            faults.cancellationFaults +
                                faults.cancellationFaults +
                                faults.cancellationFaults
                        faults.basicFaults +
                            faults.networkFaults +
                            faults.partitionFaults +
                            weightedFaults
                    }
                    withPartitionFaults -> {
                        val weightedFaults =
                            faults.partitionFaults + faults.partitionFaults + faults.partitionFaults
                        faults.basicFaults + faults.networkFaults + weightedFaults
                    }
                    withNetworkFaults ->
                        faults.basicFaults + faults.networkFaults + faults.networkFaults
                    else -> faults.basicFaults
                }
            possibleFaults[clock.random.nextInt(possibleFaults.size)]()
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken whatever fails`(seed: Long) {
        val scenario = Scenario(seed)
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("grownSeeds")
    fun `nor with one-way networks, late copies, lone controllers and quick returns`(seed: Long) {
        val scenario = Scenario(seed, withNetworkFaults = true)
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("relayedSeeds")
    fun `nor where all controllers take heartbeats`(seed: Long) {
        val scenario = Scenario(seed, withNetworkFaults = true, operators = forwardingSettings())
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("frozenSeeds")
    fun `nor with frozen controllers and cut zones besides`(seed: Long) {
        val forwarding = forwardingSettings()
        val scenario =
            Scenario(
                seed,
                withNetworkFaults = true,
                withPartitionFaults = true,
                operators = forwarding,
            )
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @ParameterizedTest
    @MethodSource("huntedSeeds")
    fun `nor with late writes, old reports, cancellations and odd requests`(seed: Long) =
        checkWithCancellationFaults(seed, OperatorSettings())

    @ParameterizedTest
    @MethodSource("huntedSeeds")
    fun `nor with them where all controllers take heartbeats`(seed: Long) =
        checkWithCancellationFaults(seed, forwardingSettings())

    private fun checkWithCancellationFaults(seed: Long, operators: OperatorSettings) {
        val scenario =
            Scenario(
                seed,
                withNetworkFaults = true,
                withCancellationFaults = true,
                operators = operators,
            )
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations())
        assertTrue(scenario.simulation.invariants.starts > 0, "nothing ran")
    }

    @Test
    fun `in a quiet scenario every job comes to its end`() {
        val scenario = Scenario(100)
        scenario.run(withFaults = false)
        assertEquals(emptyList(), scenario.simulation.violations())
        val open = scenario.jobs.filter { scenario.simulation.invariants.finalStateOf(it) == null }
        assertEquals(emptyList(), open)
    }

    companion object {
        /** The longest trouble lasts for 78 s, and late messages come up to 45 s after theirs. */
        private val FAULTS_END = 285.seconds

        /** Others for a longer search: `-DargLine="-Dwardmux.days=100-500"`. */
        @JvmStatic fun seeds(): List<Long> = seedsFrom("wardmux.days", "1-24") + REGRESSION_SEEDS

        /** Likewise: `-Dwardmux.grown=100-500`. */
        @JvmStatic fun networkFaultSeeds(): List<Long> = seedsFrom("wardmux.grown", "1-24")

        /** Likewise: `-Dwardmux.relayed=100-500`. */
        @JvmStatic
        fun forwardingSeeds(): List<Long> =
            seedsFrom("wardmux.relayed", "1-24") + FORWARDING_REGRESSION_SEEDS

        /** Likewise: `-Dwardmux.frozen=100-500`. */
        @JvmStatic fun partitionFaultSeeds(): List<Long> = seedsFrom("wardmux.frozen", "1-24")

        /** Likewise: `-Dwardmux.hunted=100-500`. */
        @JvmStatic fun cancellationFaultSeeds(): List<Long> = seedsFrom("wardmux.hunted", "1-24")

        private fun seedsFrom(property: String, defaultRange: String): List<Long> {
            val range = (System.getProperty(property) ?: defaultRange).split('-')
            return (range.first().toLong()..range.last().toLong()).toList()
        }

        /**
         * Seeds with which a rule was once broken: a job in two zones, since a later leader did not
         * know where its tasks were (113, 184, 321); a cancelled job that stayed in memory, and so
         * on its machines, when what is stored was read twice (114, 242); a team over its cap,
         * since a later leader started again what had been released after its record was written
         * (854).
         */
        private val REGRESSION_SEEDS = listOf(113L, 114L, 184L, 242L, 321L, 854L)

        /**
         * A machine that commands did not reach was kept for ever, and with it the jobs that only
         * its kind may run, as the leader had read again what is stored (200).
         */
        private val FORWARDING_REGRESSION_SEEDS = listOf(200L)
    }
}
