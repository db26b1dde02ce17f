package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against writes that the key-value store rejects, and against jobs that get stuck, when the
 * store lowers its limits on writes at an unknown time, while records larger than the new limit on
 * values may be stored.
 */
class LoweredLimitsTest {
    private class Scenario(
        seed: Long,
        announcedLimits: AnnouncedStoreLimits?,
        operators: OperatorSettings = OperatorSettings(),
    ) {
        val simulation =
            ClusterSimulation(seed, operators = operators, announcedLimits = announcedLimits)
        val clock = simulation.clock
        val jobs = ArrayList<String>()

        /**
         * Submits a random job, and cancels services and some others later. Half of the array jobs
         * and, with [alwaysLargePage], all jobs get a placement record above the lower limit.
         */
        fun submit(alwaysLargePage: Boolean = false) {
            val random = simulation.randomJob()
            val spec = if (alwaysLargePage) random.copy(kind = JobKind.ARRAY) else random
            val hasLargePage = alwaysLargePage || spec.kind == JobKind.ARRAY && clock.chance(0.5)
            // This many tasks make a placement record larger than the lower limit on values.
            val job =
                if (!hasLargePage) spec
                else
                    spec.copy(
                        tasks = 120,
                        cpus = 0.25,
                        gpus = 0.0,
                        memoryGb = 0.1,
                        types = null,
                        zone = null,
                        oneZone = false,
                        spread = false,
                        estimateS = clock.randomBetween(4.seconds, 25.seconds).inSeconds,
                        priority = PriorityClass.PROD,
                    )
            jobs.add(job.id)
            simulation.submit(job)
            val isService = spec.kind == JobKind.SERVICE
            if (isService || clock.chance(0.2)) {
                clock.after(clock.randomBetween(1.seconds, 60.seconds)) {
                    simulation.cancel(job.id)
                }
            }
        }

        /** From [from] on, crashes the leader or a machine six times, every 9 s. */
        fun scheduleCrashes(from: Micros) {
            repeat(6) { i ->
                clock.after(from + (9 * i).seconds) {
                    if (clock.chance(0.5)) {
                        simulation.leader()?.let {
                            simulation.crash(it, clock.randomBetween(200.milliseconds, 5.seconds))
                        }
                    } else {
                        simulation.cloud.workers().randomOrNull(clock.random)?.let {
                            simulation.cloud.crash(it)
                        }
                    }
                }
            }
        }

        /**
         * Runs the scenario and checks that no invariant was violated, no write was rejected for
         * its size and every job ended.
         */
        fun runAndCheck() {
            simulation.run(330.seconds)
            assertEquals(emptyList(), simulation.violations(), "violated invariants")
            assertEquals(
                emptyList(),
                simulation.store.rejectedForSize,
                "writes rejected for their size",
            )
            assertTrue(simulation.invariants.starts > 0, "no task was started")
            assertEquals(
                emptyList(),
                jobs.filter { simulation.invariants.finalStateOf(it) == null },
                "jobs that have not ended",
            )
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `controllers that know the announced limits never exceed them`(seed: Long) {
        val scenario = Scenario(seed, LOWER_LIMITS)
        for (at in 2..100 step 7) scenario.clock.after(at.seconds) { scenario.submit() }
        scenario.clock.after(40.seconds) { scenario.simulation.store.lowerLimits(LOWER_LIMITS) }
        scenario.scheduleCrashes(20.seconds)
        scenario.runAndCheck()
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `records above the lowered limits are read, and rewritten or removed once they fit`(
        seed: Long
    ) {
        val scenario = Scenario(seed, announcedLimits = null)
        val simulation = scenario.simulation
        for (at in 2..100 step 7) scenario.clock.after(at.seconds) { scenario.submit() }
        for (at in listOf(1, 8)) scenario.clock.after(at.seconds) {
            scenario.submit(alwaysLargePage = true)
        }
        var limitsLowered = false
        scenario.clock.every(100.milliseconds) {
            // Once a stored placement record exceeds the lower limit, all controllers restart with
            // the announced limits, and the store lowers its limits before they are back.
            if (!limitsLowered && simulation.store.largestValueLength("t/") > 1024) {
                limitsLowered = true
                simulation.announcedLimits = LOWER_LIMITS
                for (node in simulation.nodes) simulation.crash(node, 500.milliseconds)
                scenario.clock.after(400.milliseconds) {
                    simulation.store.lowerLimits(LOWER_LIMITS)
                }
            }
        }
        scenario.scheduleCrashes(35.seconds)
        scenario.runAndCheck()
        assertTrue(limitsLowered, "no placement record was above the lower limit of 1024 bytes")
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23])
    fun `batches of heartbeats forwarded through the store stay within the limits`(seed: Long) {
        val scenario = Scenario(seed, LOWER_LIMITS, forwardingSettings())
        val simulation = scenario.simulation
        for (at in 2..100 step 7) scenario.clock.after(at.seconds) { scenario.submit() }
        simulation.store.lowerLimits(LOWER_LIMITS)
        scenario.clock.after(20.seconds) {
            for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                simulation.network.blockPath(a, b)
        }
        scenario.clock.after(70.seconds) {
            for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                simulation.network.unblockPath(a, b)
        }
        scenario.runAndCheck()
        assertTrue(
            simulation.store.largestValueLength("r/") > 0,
            "no batch of heartbeats was forwarded through the store",
        )
    }

    /** A placement record of 1 KiB holds some 100 tasks on few machines, and some 20 on many. */
    @Test
    fun `a gang runs if its record fits the limits, and else does not block other jobs`() {
        val simulation = ClusterSimulation(31, announcedLimits = LOWER_LIMITS)
        simulation.store.lowerLimits(LOWER_LIMITS)
        simulation.run(5.seconds)
        val unplaceableGang = smallTaskGang(simulation, tasks = 200, cpus = 0.1)
        simulation.submit(unplaceableGang)
        val gang = smallTaskGang(simulation, tasks = 60, cpus = 0.5)
        val service =
            smallTaskGang(simulation, tasks = 60, cpus = 0.1)
                .copy(kind = JobKind.SERVICE, estimateS = 0.0)
        simulation.submit(gang)
        simulation.submit(service)
        val others = ArrayList<JobSpec>()
        for (at in 10..90 step 8) {
            simulation.clock.after(at.seconds) {
                val other = smallTaskGang(simulation, tasks = 4, cpus = 2.0)
                others.add(other)
                simulation.submit(other)
            }
        }
        simulation.run(200.seconds)
        val finalState = { job: JobSpec -> simulation.invariants.finalStateOf(job.id) }
        assertEquals(
            emptyList(),
            (others + gang).filter { finalState(it) != "done" }.map { it.tasks },
            "task counts of gangs that are not done",
        )
        assertEquals(
            0,
            simulation.invariants.machinesOf(unplaceableGang.id).size,
            "machines of the gang whose record does not fit",
        )
        assertTrue(
            simulation.invariants.machinesOf(service.id).isNotEmpty(),
            "no task of the service runs",
        )
        for (job in listOf(unplaceableGang, service)) {
            assertEquals(null, finalState(job), "final state of ${job.id}, which has not ended")
            simulation.cancel(job.id)
        }
        simulation.run(270.seconds)
        assertEquals(
            listOf("cancelled", "cancelled"),
            listOf(unplaceableGang, service).map(finalState),
            "final states of the unplaceable gang and the service",
        )
        assertEquals(emptyList(), simulation.violations(), "violated invariants")
        assertEquals(
            emptyList(),
            simulation.store.rejectedForSize,
            "writes rejected for their size",
        )
    }

    /** A gang whose tasks need 0.1 GB of memory and save no checkpoints. */
    private fun smallTaskGang(simulation: ClusterSimulation, tasks: Int, cpus: Double): JobSpec =
        simulation
            .unconstrainedGang("team-0", tasks, cpus, estimateS = 10.0)
            .copy(memoryGb = 0.1, checkpointS = 0.0, saveS = 0.0)

    private companion object {
        val LOWER_LIMITS = AnnouncedStoreLimits(writeRps = 18.0, valueKb = 1.0, txnOps = 4)
    }
}
