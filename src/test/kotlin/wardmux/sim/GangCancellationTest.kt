package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * A gang is cancelled in each phase of its life, with and without a leader change. Guards against
 * tasks that stay on machines or start later, because a start command, a write or the next attempt
 * was in flight when the user cancelled.
 */
class GangCancellationTest {
    /** The phase in which the gang is cancelled. */
    enum class Phase {
        /** The gang is queued, because there are too few machines. */
        WAITING_FOR_CAPACITY,

        /** The write of its placements is delayed in the key-value store. */
        RECORDING,

        /** Its placements are stored, and the start commands are in flight. */
        STARTING,

        /** Its tasks fetch their images. */
        FETCHING,

        /** Some tasks have their image and wait for the others. */
        GATHERING,
        RUNNING,

        /** A machine got a preemption notice, and the tasks save their progress. */
        SAVING,

        /** A machine crashed, all tasks have ended, and the next attempt is due. */
        BETWEEN_ATTEMPTS,

        /** All tasks completed, and the users have not been told yet. */
        DONE,
    }

    /**
     * Creates a gang, and prepares the cluster so that the gang reaches [phase] and stays in it
     * long enough. The gang is not submitted.
     */
    private fun createGangReaching(scenario: GangScenario, phase: Phase): JobSpec {
        val simulation = scenario.simulation
        // The cluster starts with three machines, and each holds one task, so a fourth task waits.
        val gang =
            scenario.gangSpec(tasks = if (phase == Phase.WAITING_FOR_CAPACITY) 4 else 3, cpus = 9.0)
        when (phase) {
            Phase.WAITING_FOR_CAPACITY -> simulation.cloud.unavailable = true
            Phase.STARTING ->
                for (i in 0..20) simulation.commandDelays["i-%06d".format(i)] = 3.seconds
            Phase.SAVING ->
                scenario.runWhen({ scenario.isFullyRunning(gang) }) {
                    scenario.clock.after(6.seconds) {
                        scenario.workersHolding(gang).first().recallS = 30.0
                    }
                }
            Phase.BETWEEN_ATTEMPTS ->
                scenario.runWhen({ scenario.isFullyRunning(gang) }) {
                    simulation.cloud.rent("a", spot = false)
                    scenario.clock.after(6.seconds) {
                        simulation.cloud.crash(scenario.workersHolding(gang).first())
                    }
                }
            Phase.DONE -> simulation.gangs.runTimes[gang.id] = 6.seconds
            else -> Unit
        }
        return gang
    }

    /** Runs [action] when [gang] has reached [phase]. */
    private fun runInPhase(
        scenario: GangScenario,
        phase: Phase,
        gang: JobSpec,
        action: () -> Unit,
    ) {
        val simulation = scenario.simulation
        val taskPage = { simulation.store.value("t/${gang.id}/0") }
        val hasRun = { scenario.invariants.gangStarts > 0 }
        when (phase) {
            Phase.WAITING_FOR_CAPACITY ->
                scenario.runWhen({ scenario.storedValue("q", gang) != null }) {
                    scenario.clock.after(6.seconds) {
                        assertEquals(null, taskPage())
                        action()
                    }
                }
            Phase.RECORDING -> simulation.store.isDelayed = { _, transaction ->
                    val writesTaskPage = "\"t/${gang.id}/0\"" in transaction["then"].toString()
                    if (writesTaskPage && taskPage() == null) {
                        simulation.store.isDelayed = { _, _ -> false }
                        action()
                    }
                    writesTaskPage
                }
            Phase.STARTING ->
                scenario.runWhen(
                    { taskPage() != null && scenario.taskStates(gang).isEmpty() },
                    action,
                )
            Phase.FETCHING ->
                scenario.runWhen({ scenario.taskStates(gang) == List(3) { "fetching" } }, action)
            Phase.GATHERING ->
                scenario.runWhen({ "gathering" in scenario.taskStates(gang) }, action)
            Phase.RUNNING ->
                scenario.runWhen({ scenario.isFullyRunning(gang) }) {
                    scenario.clock.after(6.seconds, action)
                }
            Phase.SAVING -> scenario.runWhen({ simulation.gangs.isSaving(gang.id) }, action)
            Phase.BETWEEN_ATTEMPTS ->
                scenario.runWhen({ hasRun() && scenario.workersHolding(gang).isEmpty() }, action)
            Phase.DONE -> scenario.invariants.onAllTasksDone = { action() }
        }
    }

    @ParameterizedTest
    @MethodSource("phases")
    fun `a cancelled gang is gone within the cancel time in any phase and never starts again`(
        phase: Phase,
        seed: Long,
    ) {
        val scenario = GangScenario(seed)
        val simulation = scenario.simulation
        simulation.run(2.seconds)
        val gang = createGangReaching(scenario, phase)
        var cancelledAt: Micros? = null
        runInPhase(scenario, phase, gang) {
            if (cancelledAt == null) {
                cancelledAt = scenario.clock.now
                simulation.cancel(gang.id)
                if (seed > 2) scenario.crashLeader(maxDelay = 3.seconds)
                // Afterwards there is capacity for the whole gang.
                scenario.clock.after(2.seconds) {
                    simulation.cloud.unavailable = false
                    simulation.cloud.rent("b", spot = false)
                    simulation.cloud.rent("c", spot = false)
                }
                scenario.clock.after(20.seconds) { simulation.commandDelays.clear() }
            }
        }
        simulation.submit(gang)
        simulation.run(60.seconds)
        val requestedAt = checkNotNull(cancelledAt) { "expected the gang to reach phase $phase" }
        val reportedAt = scenario.invariants.cancellationReportedAt(gang.id) ?: requestedAt
        assertTrue(
            reportedAt - requestedAt < 10.seconds,
            "expected the user to be told within 10 s, took ${reportedAt - requestedAt}",
        )
        // Start commands that were in flight have arrived by this deadline.
        val inFlightDeadline = reportedAt + IN_FLIGHT_TIME
        simulation.run(maxOf(scenario.clock.now, inFlightDeadline))
        val starts = scenario.invariants.starts
        val gangStarts = scenario.invariants.gangStarts
        simulation.run(reportedAt + CANCEL_TIMEOUT)
        assertEquals(
            emptyList(),
            scenario.taskStates(gang),
            "tasks on machines after the cancel time",
        )
        simulation.run(reportedAt + 120.seconds)
        scenario.assertNoViolations()
        assertEquals(
            starts to gangStarts,
            scenario.invariants.starts to scenario.invariants.gangStarts,
            "starts of tasks and of gangs after the deadline for commands in flight",
        )
        val final = scenario.invariants.finalStateOf(gang.id)
        assertTrue(
            final == "cancelled" || (final == "done" && phase == Phase.DONE),
            "expected a final state that fits phase $phase, got $final",
        )
        assertEquals(final, scenario.storedJobState(gang).name.lowercase())
        for (prefix in listOf("q", "c")) assertEquals(
            null,
            scenario.storedValue(prefix, gang),
            "value under the key prefix $prefix",
        )
        assertEquals(null, simulation.store.value("t/${gang.id}/0"))
    }

    companion object {
        /** By this time after the cancellation was reported, no task is on a machine. */
        private val CANCEL_TIMEOUT = 36.seconds

        /**
         * How long a start command may still arrive that was sent before the leader learned of the
         * cancellation.
         */
        private val IN_FLIGHT_TIME = 10.seconds

        @JvmStatic
        fun phases(): List<Arguments> =
            Phase.entries.flatMap { phase -> (1L..4L).map { Arguments.of(phase, it) } }
    }
}
