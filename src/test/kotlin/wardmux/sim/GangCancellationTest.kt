package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds

/** A gang is cancelled at each phase of its life; each is brought about on purpose. */
class GangCancellationTest {
    /** How far a gang has come, and what brings it there and makes the phase last. */
    enum class Phase {
        WAITING_FOR_CAPACITY,
        RECORDING,
        STARTING,
        FETCHING,
        GATHERING,
        RUNNING,
        SAVING,
        BETWEEN_ATTEMPTS,
        DONE,
    }

    private fun createGangReaching(scenario: GangScenario, phase: Phase): JobSpec {
        val simulation = scenario.simulation
        // There are three machines at first.
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

    /** The action is carried out when the gang has come to the phase. */
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
    fun `a cancelled gang is gone in time whatever its phase, and never starts again`(
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
                // Room for all of it comes afterwards.
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
        val requestedAt = checkNotNull(cancelledAt) { "$phase was not reached" }
        // Whoever was under way has arrived by then.
        val reportedAt = scenario.invariants.cancellationReportedAt(gang.id) ?: requestedAt
        assertTrue(reportedAt - requestedAt < 10.seconds, "told after ${reportedAt - requestedAt}")
        val inFlightDeadline = reportedAt + IN_FLIGHT_TIME
        simulation.run(maxOf(scenario.clock.now, inFlightDeadline))
        val starts = scenario.invariants.starts
        val gangStarts = scenario.invariants.gangStarts
        simulation.run(reportedAt + CANCEL_TIMEOUT)
        assertEquals(emptyList(), scenario.taskStates(gang), "still on machines")
        simulation.run(reportedAt + 120.seconds)
        scenario.assertNoViolations()
        assertEquals(
            starts to gangStarts,
            scenario.invariants.starts to scenario.invariants.gangStarts,
            "started later",
        )
        val final = scenario.invariants.finalStateOf(gang.id)
        assertTrue(final == "cancelled" || (final == "done" && phase == Phase.DONE), "is $final")
        assertEquals(final, scenario.storedJobState(gang).name.lowercase())
        for (prefix in listOf("q", "c")) assertEquals(
            null,
            scenario.storedValue(prefix, gang),
            prefix,
        )
        assertEquals(null, simulation.store.value("t/${gang.id}/0"))
    }

    companion object {
        private val CANCEL_TIMEOUT = 36.seconds

        /** Ordered before a leader could hear of it, and then on its way. */
        private val IN_FLIGHT_TIME = 10.seconds

        @JvmStatic
        fun phases(): List<Arguments> =
            Phase.entries.flatMap { phase -> (1L..4L).map { Arguments.of(phase, it) } }
    }
}
