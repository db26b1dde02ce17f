package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.model.JobKind
import wardmux.model.seconds

/**
 * Guards against harm from direct commands that arrive late: copies of start commands that were
 * carried out before, and start commands that are held up and carried out without a response.
 */
class LateCommandFaultsTest {
    /** With odd seeds all controllers take heartbeats, with even ones the leader alone does. */
    private fun simulationOf(seed: Long) =
        ClusterSimulation(seed, operators = forwardingSettings(seed % 2 != 0L))

    private fun assertNoViolations(simulation: ClusterSimulation) =
        assertEquals(emptyList(), simulation.violations().distinct().take(4), "violated invariants")

    /**
     * Each machine runs more tasks of the cancelled job than 64, the number of ended attempts that
     * were once retained on a machine. A forgotten attempt would be started again by the copy of
     * its start.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
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
                .unconstrainedJob(JobKind.ARRAY, "team-0", 170, cpus = 0.08, estimateS = 1e6)
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
}
