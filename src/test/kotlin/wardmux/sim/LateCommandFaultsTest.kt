package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.JobKind
import wardmux.model.seconds

/**
 * Guards against harm from direct commands that arrive late: copies of start commands that were
 * carried out before, and start commands that are held up and carried out without a response.
 */
class LateCommandFaultsTest {
    /** With odd seeds all controllers take heartbeats, with even ones the leader alone does. */
    private fun simulationOf(seed: Long, capacityPerZone: Int = 3) =
        ClusterSimulation(
            seed,
            operators = forwardingSettings(seed % 2 != 0L),
            capacityPerZone = capacityPerZone,
        )

    /**
     * A cluster of three ordinary machines, with no more to rent, that each run two replicas of
     * [service] and have 4 CPUs free, so that none ever becomes empty.
     */
    private class ThreeMachines(val simulation: ClusterSimulation) {
        val clock = simulation.clock
        val service =
            simulation.unconstrainedService("team-0", 6).copy(cpus = 6.0, spot = false).also {
                simulation.submit(it)
            }

        /** A job of short tasks that need one CPU each. */
        fun shortJob(team: String, tasks: Int) =
            simulation
                .unconstrainedJob(JobKind.ARRAY, team, tasks, cpus = 1.0, estimateS = 5.0)
                .copy(spot = false)

        fun replicaCounts() =
            simulation.cloud.workers().map { it.taskStatusesOf(service.id).size }.filter { it > 0 }
    }

    private fun assertNoViolations(simulation: ClusterSimulation) =
        assertEquals(emptyList(), simulation.violations().distinct().take(4), "violated invariants")

    /**
     * Each machine runs more tasks of the cancelled job than 64, the number of ended attempts that
     * were once retained on a machine. A forgotten attempt would be started again by the copy of
     * its start.
     */
    @ParameterizedTest
    @MethodSource("copySeeds")
    fun `late copies of starts run no task of a cancelled job with many tasks on a machine`(
        seed: Long
    ) {
        val simulation = simulationOf(seed)
        val clock = simulation.clock
        val lateStarts = ArrayList<() -> Unit>()
        simulation.onDirectCommand = { worker, body ->
            if ("\"start\"" in body) lateStarts.add { worker.executeDirect(body) }
        }
        // No task ends before the cancellation: a completed task does not run again.
        val job =
            simulation
                .unconstrainedJob(JobKind.ARRAY, "team-0", 170, cpus = 0.08, estimateS = 1e9)
                .copy(memoryGb = 0.1)
        simulation.submit(job)
        // Replicas on each machine keep the machines in use.
        val service = simulation.unconstrainedService("team-1", 20).copy(cpus = 1.5)
        clock.after(20.seconds) { simulation.submit(service) }
        var fullest: FakeWorker? = null
        clock.after(45.seconds) {
            val worker = simulation.cloud.workers().maxBy { it.taskStatusesOf(job.id).size }
            val tasks = worker.taskStatusesOf(job.id).size
            assertTrue(tasks > 64, "$tasks tasks on the fullest machine")
            simulation.cancel(job.id)
            fullest = worker
        }
        // More than the 36 s after which the cancelled tasks have to be gone.
        clock.after(85.seconds) {
            assertEquals(true, fullest?.alive, "the fullest machine is in use")
            lateStarts.toList().forEach { it() }
            val started = simulation.cloud.workers().sumOf { it.taskStatusesOf(job.id).size }
            assertEquals(0, started, "tasks of the cancelled job that late copies started")
        }
        simulation.run(120.seconds)
        assertNoViolations(simulation)
    }

    /**
     * Such machines got no further tasks for ever, although they listed all tasks of the starts.
     */
    @ParameterizedTest
    @MethodSource("heldSeeds")
    fun `machines whose start commands were held up get further tasks`(seed: Long) {
        val cluster = ThreeMachines(simulationOf(seed, capacityPerZone = 1))
        val simulation = cluster.simulation
        val clock = cluster.clock
        val heldJob = cluster.shortJob("team-1", 12)
        val laterJob = cluster.shortJob("team-2", 2)
        clock.after(FAULT_START) {
            assertEquals(listOf(2, 2, 2), cluster.replicaCounts(), "replicas on each machine")
            holdDirectCommands(simulation)
            simulation.submit(heldJob)
        }
        clock.after(FAULT_START + 20.seconds) {
            simulation.submit(laterJob)
            simulation.startWorkConservationChecks()
        }
        simulation.run(FAULT_START + 120.seconds)
        assertNoViolations(simulation)
        assertEquals("done", simulation.invariants.finalStateOf(heldJob.id), "held job")
        assertEquals("done", simulation.invariants.finalStateOf(laterJob.id), "later job")
    }

    /** Holds each direct command of the next 3 s for 5 to 12 s, longer than its sender waits. */
    private fun holdDirectCommands(simulation: ClusterSimulation) {
        val workers = simulation.cloud.workers().map { it.id }
        for (worker in workers) {
            simulation.commandDelays[worker] = simulation.clock.randomBetween(5.seconds, 12.seconds)
        }
        simulation.clock.after(3.seconds) { workers.forEach(simulation.commandDelays::remove) }
    }

    companion object {
        private val FAULT_START = 60.seconds

        /** Another range can be set: `-DargLine="-Dwardmux.lateCommands=100-500"`. */
        @JvmStatic fun copySeeds(): List<Long> = seedsFrom("wardmux.lateCommands", "1-4")

        @JvmStatic fun heldSeeds(): List<Long> = seedsFrom("wardmux.lateCommands", "1-6")
    }
}
