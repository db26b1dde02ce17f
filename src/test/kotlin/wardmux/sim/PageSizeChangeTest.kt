package wardmux.sim

import kotlin.test.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.config.AnnouncedStoreLimits
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against tasks that are started a second time, or that are lost, when controllers start
 * with other value sizes in their settings, from which the number of tasks on a stored page
 * follows.
 */
class PageSizeChangeTest {
    /** Jobs of many small tasks in a cluster whose controllers restart with random settings. */
    private class Scenario(seed: Long, announcedLimits: AnnouncedStoreLimits? = null) {
        val simulation =
            ClusterSimulation(
                seed,
                operators = forwardingSettings(seed % 2 != 0L),
                announcedLimits = announcedLimits,
            )
        private val clock = simulation.clock
        private val valueKb = HashMap<String, Double>()
        val jobs = ArrayList<JobSpec>()

        init {
            simulation.valueKbOf = { valueKb[it] ?: VALUE_SIZES_KB.last() }
        }

        fun submit(team: Int, tasks: Int, cpus: Double, estimateS: Double) {
            val job =
                simulation
                    .unconstrainedJob(JobKind.ARRAY, "team-$team", tasks, cpus, estimateS)
                    .copy(memoryGb = 0.05)
            jobs.add(job)
            simulation.submit(job)
        }

        /** Restarts [member] after [downtime] with a random value size in its settings. */
        fun restart(member: String, downtime: Micros) {
            restart(member, downtime, VALUE_SIZES_KB[clock.random.nextInt(VALUE_SIZES_KB.size)])
        }

        /** Restarts [member] after [downtime] with this value size in its settings. */
        fun restart(member: String, downtime: Micros, newValueKb: Double) {
            valueKb[member] = newValueKb
            simulation.crash(member, downtime)
        }

        fun restartRandomControllers() {
            when (clock.random.nextInt(3)) {
                0 -> simulation.leader()?.let { restart(it, randomDowntime()) }
                1 -> restart(simulation.nodes[clock.random.nextInt(3)], randomDowntime())
                else -> simulation.nodes.forEach { restart(it, randomDowntime()) }
            }
        }

        private fun randomDowntime() = clock.randomBetween(100.milliseconds, 4.seconds)

        fun checkNoViolationsAndJobsDone() {
            assertEquals(
                emptyList(),
                simulation.violations().distinct().take(4),
                "violated invariants",
            )
            assertEquals(
                emptyList(),
                jobs.map { it.id }.filter { simulation.invariants.finalStateOf(it) != "done" },
                "jobs that are not done",
            )
        }
    }

    @ParameterizedTest
    @MethodSource("restartSeeds")
    fun `no task runs twice when controllers restart with other value sizes`(seed: Long) {
        val scenario = Scenario(seed)
        val simulation = scenario.simulation
        val clock = simulation.clock
        scenario.submit(0, tasks = 300, cpus = 0.08, estimateS = 30.0)
        scenario.submit(1, tasks = 200, cpus = 0.12, estimateS = 60.0)
        clock.after(10.seconds) { scenario.submit(2, tasks = 1_000, cpus = 0.1, estimateS = 5.0) }
        for (at in 12..110 step 7) clock.after(at.seconds) { scenario.restartRandomControllers() }
        simulation.run(260.seconds)
        scenario.checkNoViolationsAndJobsDone()
    }

    /**
     * The limits that the settings announced come into force, the controllers are restarted one
     * after the other with settings that name them, and later the leader crashes.
     */
    @ParameterizedTest
    @MethodSource("loweredLimitSeeds")
    fun `no task runs twice after announced limits are in force and in the settings`(seed: Long) {
        val scenario = Scenario(seed, LOWER_LIMITS)
        val simulation = scenario.simulation
        val clock = simulation.clock
        for (team in 0..2) scenario.submit(team, tasks = 60, cpus = 0.5, estimateS = 40.0)
        clock.after(25.seconds) { simulation.store.lowerLimits(LOWER_LIMITS) }
        for ((i, member) in simulation.nodes.withIndex()) {
            clock.after((30 + 6 * i).seconds) {
                simulation.announcedLimits = null
                scenario.restart(member, 1.seconds, checkNotNull(LOWER_LIMITS.valueKb))
            }
        }
        for (at in 55..100 step 15) clock.after(at.seconds) {
            simulation.leader()?.let { simulation.crash(it, 200.milliseconds) }
        }
        simulation.run(260.seconds)
        scenario.checkNoViolationsAndJobsDone()
    }

    companion object {
        /** The last is the limit of the key-value store. */
        private val VALUE_SIZES_KB = listOf(1.0, 2.0, 3.0, 8.0)
        private val LOWER_LIMITS = AnnouncedStoreLimits(valueKb = 1.0)

        /** Another range can be set: `-DargLine="-Dwardmux.pageSizes=100-500"`. */
        @JvmStatic fun restartSeeds(): List<Long> = seedsFrom("wardmux.pageSizes", "1-8")

        @JvmStatic fun loweredLimitSeeds(): List<Long> = seedsFrom("wardmux.pageSizes", "1-4")
    }
}
