package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import wardmux.config.OperatorSettings
import wardmux.model.seconds

/**
 * Guards against violated invariants in scenarios that inject a random fault every 9 s, so that
 * faults of all kinds occur alone and together. A seed determines the whole scenario. The
 * invariants are checked after each step.
 */
class RandomSimulationTest {
    /**
     * Basic faults are always among those that are injected.
     *
     * @param withNetworkFaults injects network faults too, and checks at the end, after a time
     *   without faults, that the cluster has recovered
     * @param withPartitionFaults injects partitions and frozen controllers too
     * @param withCancellationFaults injects cancellations, delayed messages and partitions too
     * @param withLossFaults injects lost machines and late copies of direct commands too
     */
    private class Scenario(
        private val seed: Long,
        private val withNetworkFaults: Boolean = false,
        private val withPartitionFaults: Boolean = false,
        private val withCancellationFaults: Boolean = false,
        private val withLossFaults: Boolean = false,
        operators: OperatorSettings = OperatorSettings(),
    ) {
        val simulation = ClusterSimulation(seed, operators = operators)
        private val clock = simulation.clock
        val jobs = ArrayList<String>()

        private val faults = FaultInjector(simulation, ::submit)
        private val lossFaults = LossFaults(simulation)

        /** Submits a random job, and cancels services and some others up to 60 s later. */
        private fun submit() {
            val randomJob = simulation.randomJob()
            // Some jobs run for 100 s, so that cancellations find running tasks.
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

        /** Runs the scenario: a job every 7 s and, if [withFaults], a fault every 9 s. */
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

        /** Injects one random fault; the newer kinds have more weight. */
        private fun injectRandomFault() {
            val possibleFaults =
                when {
                    // Without crashes leaders last long enough for late copies to do harm.
                    withLossFaults && seed % LOSS_FAULTS_WITH_OTHERS != 0L -> lossFaults.all
                    withLossFaults ->
                        faults.basicFaults +
                            faults.networkFaults +
                            faults.cancellationFaults +
                            List(4) { lossFaults.all }.flatten()
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
    fun `invariants hold with crashes, outages, preemptions and lost messages`(seed: Long) {
        val scenario = Scenario(seed)
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    @ParameterizedTest
    @MethodSource("networkFaultSeeds")
    fun `invariants hold with asymmetric loss, duplicates, partitions and fast restarts`(
        seed: Long
    ) {
        val scenario = Scenario(seed, withNetworkFaults = true)
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    /**
     * Found by a long search. A machine hangs, and the leader cannot load the stored state until
     * after the end of the machine's lease. It then counts that end as the proof that the tasks are
     * gone, and starts them elsewhere before the machine is deleted.
     */
    @Test
    fun `tasks of a machine that hangs beyond its lease during a load run once`() {
        val scenario = Scenario(seed = 1064, withNetworkFaults = true)
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
    }

    @ParameterizedTest
    @MethodSource("forwardingSeeds")
    fun `invariants hold with network faults when all controllers take heartbeats`(seed: Long) {
        val scenario = Scenario(seed, withNetworkFaults = true, operators = forwardingSettings())
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    @ParameterizedTest
    @MethodSource("partitionFaultSeeds")
    fun `invariants hold with frozen controllers and partitioned zones`(seed: Long) {
        val forwarding = forwardingSettings()
        val scenario =
            Scenario(
                seed,
                withNetworkFaults = true,
                withPartitionFaults = true,
                operators = forwarding,
            )
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    @ParameterizedTest
    @MethodSource("cancellationFaultSeeds")
    fun `invariants hold with delayed writes, old heartbeats and cancellations`(seed: Long) =
        checkWithCancellationFaults(seed, OperatorSettings())

    @ParameterizedTest
    @MethodSource("cancellationFaultSeeds")
    fun `invariants hold with cancellations when all controllers take heartbeats`(seed: Long) =
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
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    @ParameterizedTest
    @MethodSource("lossFaultSeeds")
    fun `invariants hold with lost machines and late copies of commands`(seed: Long) =
        checkWithLossFaults(seed)

    /**
     * Found by a search of the seeds 201 to 1200. With 906 and 942 a task of a cancelled job is on
     * a machine for longer than allowed; with 730 the only job of a team never starts.
     */
    @ParameterizedTest
    @ValueSource(longs = [730, 906, 942])
    fun `seeds with lost machines that a long search found`(seed: Long) = checkWithLossFaults(seed)

    private fun checkWithLossFaults(seed: Long) {
        val scenario =
            Scenario(
                seed,
                withNetworkFaults = true,
                withCancellationFaults = true,
                withLossFaults = true,
                operators = forwardingSettings(seed % 2 != 0L),
            )
        scenario.run(withFaults = true)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        assertTrue(scenario.simulation.invariants.starts > 0, "no task was started")
    }

    @Test
    fun `every job ends in a scenario without faults`() {
        val scenario = Scenario(100)
        scenario.run(withFaults = false)
        assertEquals(emptyList(), scenario.simulation.violations(), "violated invariants")
        val open = scenario.jobs.filter { scenario.simulation.invariants.finalStateOf(it) == null }
        assertEquals(emptyList(), open, "jobs that have not ended")
    }

    companion object {
        /** Of so many seeds with lost machines, one has faults of all other kinds too. */
        private const val LOSS_FAULTS_WITH_OTHERS = 4L

        /** The longest fault lasts for 78 s, and delayed messages arrive up to 45 s late. */
        private val FAULTS_END = 285.seconds

        /** Another range can be set: `-DargLine="-Dwardmux.days=100-500"`. */
        @JvmStatic fun seeds(): List<Long> = seedsFrom("wardmux.days", "1-24") + REGRESSION_SEEDS

        /** Another range can be set: `-Dwardmux.grown=100-500`. */
        @JvmStatic fun networkFaultSeeds(): List<Long> = seedsFrom("wardmux.grown", "1-24")

        /** Another range can be set: `-Dwardmux.relayed=100-500`. */
        @JvmStatic
        fun forwardingSeeds(): List<Long> =
            seedsFrom("wardmux.relayed", "1-24") + FORWARDING_REGRESSION_SEEDS

        /** Another range can be set: `-Dwardmux.frozen=100-500`. */
        @JvmStatic fun partitionFaultSeeds(): List<Long> = seedsFrom("wardmux.frozen", "1-24")

        /** Another range can be set: `-Dwardmux.hunted=100-500`. */
        @JvmStatic fun cancellationFaultSeeds(): List<Long> = seedsFrom("wardmux.hunted", "1-24")

        /** Another range can be set: `-Dwardmux.losses=100-500`. */
        @JvmStatic fun lossFaultSeeds(): List<Long> = seedsFrom("wardmux.losses", "1-40")

        /**
         * Seeds that once violated an invariant. With 113, 184 and 321 a job that must run in one
         * zone ran in two, because a later leader did not know where its tasks were. With 114 and
         * 242 a cancelled job stayed in memory, and so on its machines, when the stored state was
         * read twice. With 854 a team exceeded its quota, because a later leader started tasks
         * again that had been released after their record was written.
         */
        private val REGRESSION_SEEDS = listOf(113L, 114L, 184L, 242L, 321L, 854L)

        /**
         * With seed 200 a machine that commands did not reach was never decommissioned, because the
         * leader had read the stored state again. Jobs that only this type of machine can run never
         * ended.
         */
        private val FORWARDING_REGRESSION_SEEDS = listOf(200L)
    }
}
