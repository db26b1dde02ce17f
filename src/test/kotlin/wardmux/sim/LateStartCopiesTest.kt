package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.JobKind
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against copies of direct start commands, carried out and answered before, that reach their
 * machine again minutes later. Between the start and its copy the task may have been moved,
 * stopped, cancelled, completed or failed, and a controller or the machine may have been away for a
 * moment.
 */
class LateStartCopiesTest {
    /** What happens between a start and its copy, by what refuses the copy then. */
    enum class Event {
        /** The worker lists the ended attempt. */
        CANCELLED,
        /** The worker lists the ended attempt, and the next one runs elsewhere. */
        MOVED,
        /** The worker lists the ended attempt, and the next one waits for urgent work to end. */
        STOPPED,
        /** The worker lists the failed attempt, and the next one runs elsewhere. */
        FAILED,
        /** The worker keeps the result. */
        DONE,
        /** The worker has seen the next leader's token. */
        LEADER_BACK_AT_ONCE,
        /** The worker lists the ended attempt: forwarders send no starts. */
        FORWARDER_BACK_AT_ONCE,
        /** The worker lists the ended attempt, as the machine was away for less than its lease. */
        MACHINE_BACK_AT_ONCE,
        /** The worker's incarnation is a later one. */
        MACHINE_BACK_AFTER_ITS_LEASE,
    }

    /** A direct command with starts, as a worker executed it. */
    private class CarriedOut(val worker: FakeWorker, val body: String)

    private class Scenario(seed: Long, private val event: Event) {
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(seed % 2 != 0L))
        private val clock = simulation.clock
        private val carriedOut = ArrayList<CarriedOut>()
        private var laterAttempts = 0
        private var firstLeaderToken: Long? = null
        private val job =
            simulation
                .unconstrainedJob(JobKind.ARRAY, "team-0", 8, cpus = 1.0, estimateS = LONG_RUN_S)
                .copy(estimateS = if (event == Event.DONE) 5.0 else LONG_RUN_S)

        init {
            simulation.onStartDecided = { _, _, task, attempt ->
                if (job.id in task && attempt > 1) laterAttempts++
            }
            // Replicas on each machine keep the machines in use.
            simulation.submit(simulation.unconstrainedService("team-1", 6).copy(cpus = 4.0))
            clock.after(RECORDING_START) {
                simulation.onDirectCommand = { worker, body ->
                    if ("\"start\"" in body && job.id in body)
                        carriedOut.add(CarriedOut(worker, body))
                }
                simulation.submit(job)
            }
            clock.after(EVENT_TIME) { happen() }
            for (delay in COPY_DELAYS) clock.after(EVENT_TIME + delay) { deliverCopies() }
        }

        /** The workers that run tasks of the job. */
        private fun workersOfJob() =
            simulation.cloud.workers().filter { it.taskStatusesOf(job.id).isNotEmpty() }

        private fun happen() {
            firstLeaderToken = simulation.leaderToken()
            when (event) {
                Event.CANCELLED -> simulation.cancel(job.id)
                Event.DONE -> Unit
                Event.FAILED -> workersOfJob().take(1).forEach { it.failRunningTasks(job.id) }
                Event.MOVED -> moveTasks()
                Event.STOPPED -> simulation.submit(urgentJob())
                Event.LEADER_BACK_AT_ONCE -> {
                    simulation.leader()?.let { simulation.crash(it, 300.milliseconds) }
                    clock.after(1.seconds) { simulation.cancel(job.id) }
                }
                Event.FORWARDER_BACK_AT_ONCE -> {
                    val leader = simulation.leader()
                    for (node in simulation.nodes - leader.orEmpty()) {
                        simulation.crash(node, 300.milliseconds)
                    }
                    clock.after(1.seconds) { simulation.cancel(job.id) }
                }
                Event.MACHINE_BACK_AT_ONCE -> {
                    val workers = workersOfJob().onEach { it.unresponsive = true }
                    clock.after(700.milliseconds) { workers.forEach { it.unresponsive = false } }
                    simulation.cancel(job.id)
                }
                Event.MACHINE_BACK_AFTER_ITS_LEASE -> {
                    // Commands still reach the machines, so they are not replaced for 10 s.
                    val workers = workersOfJob().map { it.id }
                    simulation.network.outboundBlocked.addAll(workers)
                    clock.after(18.seconds) {
                        workers.forEach(simulation.network.outboundBlocked::remove)
                    }
                }
            }
        }

        /** Urgent work that takes all of the team's quota. */
        private fun urgentJob() =
            simulation
                .unconstrainedJob(JobKind.ARRAY, "team-0", 40, cpus = 1.0, estimateS = 30.0)
                .copy(priority = PriorityClass.PROD)

        /** The preemption notice of a machine stops its tasks, with time to save. */
        private fun moveTasks() {
            for (worker in workersOfJob().take(1)) worker.recallS = 60.0
        }

        private fun deliverCopies() {
            for (command in carriedOut.toList()) command.worker.executeDirect(command.body)
        }

        fun run() {
            simulation.run(EVENT_TIME + COPY_DELAYS.last() + 60.seconds)
            assertTrue(carriedOut.isNotEmpty(), "expected direct starts")
            assertEquals(emptyList(), simulation.violations().distinct().take(4), event.name)
            assertHappened()
        }

        private fun assertHappened() {
            val state = simulation.invariants.finalStateOf(job.id)
            when (event) {
                Event.MOVED,
                Event.STOPPED,
                Event.FAILED,
                Event.MACHINE_BACK_AFTER_ITS_LEASE ->
                    assertTrue(laterAttempts > 0, "expected second attempts")
                Event.DONE -> assertEquals("done", state)
                Event.LEADER_BACK_AT_ONCE -> {
                    assertEquals("cancelled", state)
                    assertNotEquals(firstLeaderToken, simulation.leaderToken(), "fencing token")
                }
                Event.CANCELLED,
                Event.FORWARDER_BACK_AT_ONCE,
                Event.MACHINE_BACK_AT_ONCE -> assertEquals("cancelled", state)
            }
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `late copies of starts run no task a second time`(event: Event, seed: Long) =
        Scenario(seed, event).run()

    companion object {
        private const val LONG_RUN_S = 300.0
        private val RECORDING_START = 30.seconds
        private val EVENT_TIME = 60.seconds
        private val COPY_DELAYS = listOf(1.seconds, 40.seconds, 120.seconds, 200.seconds)

        /** Another range of seeds can be set: `-DargLine="-Dwardmux.startCopies=100-500"`. */
        @JvmStatic
        fun cases(): List<Array<Any>> =
            Event.entries.flatMap { event ->
                seedsFrom("wardmux.startCopies", "1-4").map { arrayOf<Any>(event, it) }
            }
    }
}
