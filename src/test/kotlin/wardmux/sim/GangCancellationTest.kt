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
        WAITING,
        UNRECORDED,
        STARTING,
        FETCHING,
        GATHERING,
        RUNNING,
        SAVING,
        BETWEEN,
        DONE,
    }

    private fun arrange(scenario: GangScenario, phase: Phase): JobSpec {
        val simulation = scenario.simulation
        // There are three machines at first.
        val gang = scenario.gangSpec(tasks = if (phase == Phase.WAITING) 4 else 3, cpus = 9.0)
        when (phase) {
            Phase.WAITING -> simulation.cloud.unavailable = true
            Phase.STARTING ->
                for (i in 0..20) simulation.commandDelays["i-%06d".format(i)] = 3.seconds
            Phase.SAVING ->
                scenario.runWhen({ scenario.isFullyRunning(gang) }) {
                    scenario.clock.after(6.seconds) {
                        scenario.workersHolding(gang).first().recallS = 30.0
                    }
                }
            Phase.BETWEEN ->
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
    private fun inPhase(scenario: GangScenario, phase: Phase, gang: JobSpec, action: () -> Unit) {
        val simulation = scenario.simulation
        val page = { simulation.store.value("t/${gang.id}/0") }
        val begun = { scenario.invariants.gangStarts > 0 }
        when (phase) {
            Phase.WAITING ->
                scenario.runWhen({ scenario.storedValue("q", gang) != null }) {
                    scenario.clock.after(6.seconds) {
                        assertEquals(null, page())
                        action()
                    }
                }
            Phase.UNRECORDED -> simulation.store.isDelayed = { _, transaction ->
                    val own = "\"t/${gang.id}/0\"" in transaction["then"].toString()
                    if (own && page() == null) {
                        simulation.store.isDelayed = { _, _ -> false }
                        action()
                    }
                    own
                }
            Phase.STARTING ->
                scenario.runWhen({ page() != null && scenario.taskStates(gang).isEmpty() }, action)
            Phase.FETCHING ->
                scenario.runWhen({ scenario.taskStates(gang) == List(3) { "fetching" } }, action)
            Phase.GATHERING ->
                scenario.runWhen({ "gathering" in scenario.taskStates(gang) }, action)
            Phase.RUNNING ->
                scenario.runWhen({ scenario.isFullyRunning(gang) }) {
                    scenario.clock.after(6.seconds, action)
                }
            Phase.SAVING -> scenario.runWhen({ simulation.gangs.isSaving(gang.id) }, action)
            Phase.BETWEEN ->
                scenario.runWhen({ begun() && scenario.workersHolding(gang).isEmpty() }, action)
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
        val gang = arrange(scenario, phase)
        var cancelledAt: Micros? = null
        inPhase(scenario, phase, gang) {
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
        val asked = checkNotNull(cancelledAt) { "$phase was not reached" }
        // Whoever was under way has arrived by then.
        val told = scenario.invariants.cancellationReportedAt(gang.id) ?: asked
        assertTrue(told - asked < 10.seconds, "told after ${told - asked}")
        val settled = told + UNDER_WAY
        simulation.run(maxOf(scenario.clock.now, settled))
        val starts = scenario.invariants.starts
        val begun = scenario.invariants.gangStarts
        simulation.run(told + CANCEL_TIME)
        assertEquals(emptyList(), scenario.taskStates(gang), "still on machines")
        simulation.run(told + 120.seconds)
        scenario.assertNoViolations()
        assertEquals(
            starts to begun,
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
        private val CANCEL_TIME = 36.seconds

        /** Ordered before a leader could hear of it, and then on its way. */
        private val UNDER_WAY = 10.seconds

        @JvmStatic
        fun phases(): List<Arguments> =
            Phase.entries.flatMap { phase -> (1L..4L).map { Arguments.of(phase, it) } }
    }
}
