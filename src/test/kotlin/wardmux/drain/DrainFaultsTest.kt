package wardmux.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/** Drains during failures, each injected on purpose. */
class DrainFaultsTest {
    private fun DrainScenario.crashLeader() =
        simulation.leader()?.let { simulation.crash(it, 3.seconds) }

    private fun DrainScenario.crashAll() {
        for (node in simulation.nodes) simulation.crash(node, 3.seconds)
    }

    /** Calls [action] as the leader sends its [number]th write of a drain from now. */
    private fun DrainScenario.atDrainWrite(number: Int, action: () -> Unit) {
        var seen = 0
        simulation.store.isDelayed = { _, transaction ->
            val writes =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    it.jsonObject["put"]?.jsonPrimitive?.content
                }
            if (writes.any { it.startsWith(DrainRecord.PREFIX) } && ++seen == number) action()
            false
        }
    }

    /** A fault that is injected into the leader at a write. */
    enum class LeaderFault {
        /** It crashes; the write is carried out, and nobody acts on it. */
        CRASHES,

        /** It crashes once it has acted on the write. */
        CRASHES_LATER,

        /** It is frozen for longer than its lease, and then continues. */
        FREEZES,

        /** It reaches neither the key-value store nor its peers. */
        IS_PARTITIONED,
    }

    private fun DrainScenario.inject(fault: LeaderFault) {
        val leader = simulation.leader() ?: return
        when (fault) {
            LeaderFault.CRASHES -> simulation.crash(leader, 3.seconds)
            LeaderFault.CRASHES_LATER ->
                clock.after(400.milliseconds) { simulation.crash(leader, 3.seconds) }
            LeaderFault.FREEZES ->
                clock.after(100.milliseconds) { simulation.freeze(leader, 15.seconds) }
            LeaderFault.IS_PARTITIONED -> {
                simulation.network.isolate(leader)
                clock.after(15.seconds) { simulation.network.reconnect(leader) }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(LeaderFault::class)
    fun `the next leader continues after any write of a step`(fault: LeaderFault) {
        for (write in 1..8) {
            val scenario = DrainScenario(20L + write).startJobs().startDrain()
            scenario.atDrainWrite(write) { scenario.inject(fault) }
            scenario.runUntilDone()
            scenario.assertDrained()
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `delayed commands of the first leader do not exceed the budget`(seed: Long) {
        val scenario = DrainScenario(seed).startJobs().startDrain()
        for (worker in scenario.workers()) scenario.simulation.commandDelays[worker.id] = 4.seconds
        for (write in listOf(3, 6)) {
            scenario.atDrainWrite(write) { scenario.inject(LeaderFault.FREEZES) }
            scenario.simulation.run(scenario.clock.now + 60.seconds)
        }
        scenario.simulation.commandDelays.clear()
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    /** Two machines with a replica each, drained side by side, of which one may be down. */
    private fun sideBySide(seed: Long): Pair<DrainScenario, List<String>> {
        val budget = BudgetSettings(maxDisrupted = 1, stepPauseS = 0.0)
        val scenario = DrainScenario(seed, DrainSettings(budget = budget))
        scenario.startJobs(scenario.service(0, 3, cpus = 10.0))
        val machines = scenario.workers().filter { it.activeTasks > 0 }.map { it.id }.take(2)
        for ((number, machine) in machines.withIndex()) {
            scenario.startDrain(
                DrainRequest("d${number + 1}", DrainSelector(machines = listOf(machine)))
            )
        }
        return scenario to machines
    }

    private fun DrainScenario.runUntilBothDone() {
        runUntilDone(id = "d1")
        runUntilDone(id = "d2")
        assertBudgetsKept()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `what an earlier leader may have evicted counts until its machine sends a heartbeat`(
        seed: Long
    ) {
        val (scenario, machines) = sideBySide(seed)
        scenario.runUntil(200.seconds, "a stop") { scenario.disruptions.stops.isNotEmpty() }
        // The next leader does not hear of the stop: that machine reaches no controller.
        val stopped =
            scenario
                .workers()
                .filter { it.id in machines }
                .filter { it.activeTasks == 0 }
                .map { it.id }
        scenario.simulation.network.outboundBlocked.addAll(stopped)
        scenario.crashLeader()
        scenario.clock.after(25.seconds) {
            scenario.simulation.network.outboundBlocked.removeAll(stopped.toSet())
        }
        scenario.runUntilBothDone()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `an eviction in flight still counts after the stored state was read again`(seed: Long) {
        val (scenario, machines) = sideBySide(seed)
        val network = scenario.simulation.network
        // Direct commands take long, and once the stop is sent nothing else gets through.
        for (machine in machines) scenario.simulation.commandDelays[machine] = 8.seconds
        scenario.runUntil(200.seconds, "a stop is recorded") {
            listOf("d1", "d2").any { scenario.stored(it)?.step?.moved?.isNotEmpty() == true }
        }
        val leader = checkNotNull(scenario.simulation.leader())
        for (machine in machines) network.blockPath(leader, machine)
        // The next placements get no answer, so all is read again.
        var swallowed = 0
        scenario.simulation.store.isDelayed = { _, transaction ->
            "\"tags\"" in transaction.toString() && swallowed++ == 0
        }
        scenario.submit(scenario.array(1, 2, 5.0))
        scenario.clock.after(9.seconds) {
            for (machine in machines) network.unblockPath(leader, machine)
        }
        scenario.simulation.run(scenario.clock.now + 12.seconds)
        assertTrue(swallowed > 0)
        scenario.simulation.commandDelays.clear()
        scenario.runUntilBothDone()
    }

    @Test
    fun `a drain yields to urgent work that waits for capacity, and reports it`() {
        val scenario = DrainScenario(5, capacity = 1)
        scenario.startJobs(scenario.service(0, 2, cpus = 6.0), scenario.service(1, 2, cpus = 6.0))
        val urgent = scenario.array(2, 8, 20.0, cpus = 14.0).copy(priority = PriorityClass.HIGH)
        scenario.submit(urgent)
        scenario.simulation.run(scenario.clock.now + 5.seconds)
        scenario.startDrain()
        var said = false
        while (scenario.simulation.invariants.finalStateOf(urgent.id) == null) {
            if ("takes precedence" in scenario.status().waitsFor) said = true
            scenario.simulation.run(scenario.clock.now + 5.seconds)
            assertTrue(scenario.clock.now < 900.seconds, "the urgent work never ended")
        }
        assertTrue(said, "it did not say that it yields")
        assertEquals(0, scenario.stored()?.returned)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `no task is evicted before a replacement is up and healthy`(sick: Boolean) {
        val scenario = DrainScenario(7)
        // Fuller than half, so that nothing fits beside what is there.
        scenario.startJobs(scenario.service(0, 3, cpus = 10.0))
        if (sick) scenario.simulation.cloud.newMachinesFailTasks = true
        else scenario.simulation.cloud.startFailureProbability = 1.0
        val before = scenario.disruptions.stops.size
        scenario.startDrain()
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        if (!sick) {
            assertEquals(
                before,
                scenario.disruptions.stops.size,
                "moved to a machine that is not up",
            )
            assertEquals(StepPhase.PREPARING, scenario.stored()?.step?.phase)
        }
        scenario.simulation.cloud.newMachinesFailTasks = false
        scenario.simulation.cloud.startFailureProbability = 0.0
        for (worker in scenario.workers()) if (worker !in scenario.drainedMachines)
            worker.failsEveryTask = false
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @ValueSource(strings = ["a", "b", "c"])
    fun `the loss of a zone during a step pauses the drain until its work runs again`(
        zone: String
    ) {
        val scenario = DrainScenario(9).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        for (worker in scenario.workers().filter { it.zone == zone }) scenario.simulation.cloud
            .crash(worker)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `a task lost otherwise pauses the step, and its restart resumes it`() {
        val scenario = DrainScenario(10)
        // Once one of two replicas is moved, its machine has no room for what is lost elsewhere.
        scenario.startJobs(scenario.service(0, 2, cpus = 7.0), scenario.service(0, 1, cpus = 14.0))
        val first = scenario.workers().first { it.activeTasks == 2 }
        val second = scenario.workers().first { it.activeTasks == 1 }
        scenario.startDrain(DrainRequest("d1", DrainSelector(machines = listOf(first.id))))
        scenario.runUntil(60.seconds, "a stop") { scenario.disruptions.stops.isNotEmpty() }
        assertEquals(200, scenario.control(DrainPaths.PAUSE))
        scenario.simulation.run(scenario.clock.now + 20.seconds)
        assertTrue(first.activeTasks > 0, "nothing is left to be moved")
        // What was there finds no machine for a while.
        scenario.simulation.cloud.startFailureProbability = 1.0
        scenario.simulation.cloud.crash(second)
        scenario.simulation.run(scenario.clock.now + 20.seconds)
        assertEquals(200, scenario.control(DrainPaths.RESUME))
        scenario.runUntil(30.seconds, "it pauses") { scenario.stored()?.reason == PauseReason.LOSS }
        assertTrue("workers are disrupted" in scenario.stored()?.note.orEmpty())
        scenario.simulation.cloud.startFailureProbability = 0.0
        scenario.runUntilDone()
        scenario.assertBudgetsKept()
    }

    @Test
    fun `a wave of spot preemptions during a drain of spot machines`() {
        val scenario = DrainScenario(11)
        scenario.startJobs(
            scenario.array(0, 8, 90.0),
            scenario.array(1, 8, 90.0),
            scenario.service(2, 2),
        )
        scenario.startDrain(DrainRequest("d1", DrainSelector(spot = true), graceS = 5.0))
        scenario.runUntilStep(StepPhase.EMPTYING)
        for (worker in scenario.workers().filter { it.spot }.drop(1)) {
            worker.recallS = 10.0
            scenario.clock.after(10.seconds) { scenario.simulation.cloud.reclaimSpot(worker) }
        }
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `an outage of the key-value store for longer than a lease`() {
        val scenario = DrainScenario(13).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        scenario.simulation.store.startOutage(null)
        scenario.simulation.run(scenario.clock.now + 40.seconds)
        assertEquals(
            503,
            scenario.sendRequestOnce("GET", "${DrainPaths.DRAINS}/d1")?.first,
            "at once",
        )
        scenario.simulation.store.endOutage(null)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @ValueSource(ints = [5, 12, 40])
    fun `a machine that hangs while it is drained and comes back`(inSeconds: Int) {
        val scenario = DrainScenario(15).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val names = scenario.stored()?.step?.machines.orEmpty()
        val hung = scenario.workers().filter { it.id in names }
        for (worker in hung) worker.unresponsive = true
        scenario.clock.after(inSeconds.seconds) { for (worker in hung) worker.unresponsive = false }
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    @Test
    fun `a machine that crashes while it is drained`() {
        val scenario = DrainScenario(17).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val names = scenario.stored()?.step?.machines.orEmpty()
        for (worker in scenario.workers().filter { it.id in names }) scenario.simulation.cloud
            .crash(worker)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @EnumSource(StepPhase::class)
    fun `all controllers are restarted at once`(phase: StepPhase) {
        val scenario = DrainScenario(19).startJobs().startDrain()
        scenario.runUntilStep(phase)
        scenario.crashAll()
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `a budget lowered below what is disrupted allows no eviction until it is kept again`() {
        val budget = BudgetSettings(maxDisrupted = 3, stepPauseS = 1.0)
        val scenario = DrainScenario(21, DrainSettings(budget = budget))
        scenario.startJobs(scenario.service(0, 6), scenario.service(1, 6))
        scenario.startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val lower = DrainSettings(budget = budget.copy(maxDisrupted = 1))
        scenario.simulation.operatorSettingsOf = { scenario.operators.copy(drain = lower) }
        val until = scenario.clock.now + 5.seconds
        scenario.crashAll()
        scenario.simulation.run(until)
        val before = scenario.disruptions.stops.size
        scenario.runUntilDone()
        scenario.assertDrained()
        val later = scenario.disruptions.stops.drop(before)
        val beyond = later.filter { it.disrupted.size > 1 }
        assertEquals(
            emptyList(),
            beyond.map { "${it.team} at ${it.at.inSeconds}: ${it.disrupted.keys}" },
        )
    }

    @Test
    fun `a budget of zero is reported as the reason, and a raised one resumes the drain`() {
        val none = BudgetSettings(maxDisrupted = 0, stepPauseS = 1.0)
        val scenario = DrainScenario(23, DrainSettings(budget = none))
        scenario.startJobs(scenario.service(0, 3)).startDrain()
        scenario.runUntil(120.seconds, "paused") { scenario.stored()?.reason == PauseReason.BUDGET }
        assertTrue("its budget is 0" in scenario.stored()?.note.orEmpty(), "${scenario.stored()}")
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        assertEquals(emptyList(), scenario.disruptions.stops.map { it.team })
        val raised = DrainSettings(budget = none.copy(maxDisrupted = 1))
        scenario.simulation.operatorSettingsOf = { scenario.operators.copy(drain = raised) }
        scenario.crashAll()
        scenario.runUntilDone()
        assertEquals(emptyList(), scenario.disruptions.stopsOverLimit({ 1 }, 9.seconds))
        assertEquals(emptyList(), scenario.simulation.violations())
    }

    @Test
    fun `replicas that must stay up stay up`() {
        val budget = BudgetSettings(maxDisrupted = 3, minReplicas = 3, stepPauseS = 1.0)
        val scenario = DrainScenario(25, DrainSettings(budget = budget))
        val large = scenario.service(0, 4)
        scenario.startJobs(large).startDrain()
        scenario.runUntilDone()
        scenario.assertDrained()
        assertTrue(
            scenario.disruptions.peakOf("team-0") <= 1,
            "${scenario.disruptions.peakOf("team-0")}",
        )

        val tooMany = DrainScenario(27, DrainSettings(budget = budget.copy(minReplicas = 4)))
        tooMany.startJobs(tooMany.service(0, 4)).startDrain()
        tooMany.runUntil(120.seconds, "paused") { tooMany.stored()?.reason == PauseReason.BUDGET }
        assertTrue("must stay up" in tooMany.stored()?.note.orEmpty())
        assertEquals(0, tooMany.disruptions.stops.size)
    }

    @Test
    fun `a version without drains that leads for a while leaves the records alone`() {
        val scenario = DrainScenario(29).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val before = scenario.stored()
        scenario.simulation.operatorSettingsOf = { OperatorSettings() }
        scenario.crashAll()
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        assertEquals(before, scenario.stored())
        assertEquals(404, scenario.sendRequestOnce("GET", "${DrainPaths.DRAINS}/d1")?.first)
        scenario.simulation.operatorSettingsOf = { scenario.operators }
        scenario.crashAll()
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `drains beside controllers of a version that has none`() {
        val scenario = DrainScenario(31)
        scenario.simulation.operatorSettingsOf = {
            if (it == "n1") OperatorSettings() else scenario.operators
        }
        for (node in scenario.simulation.nodes) scenario.simulation.crash(node, 1.seconds)
        scenario.startJobs()
        scenario.runUntil(60.seconds, "a leader") { scenario.simulation.leader() != null }
        while (scenario.simulation.leader() == "n1") {
            scenario.crashLeader()
            scenario.simulation.run(scenario.clock.now + 10.seconds)
        }
        val other =
            scenario.simulation.nodes.first { it != "n1" && it != scenario.simulation.leader() }
        val body = operatorJson.encodeToString(DrainRequest.serializer(), REQUEST)
        assertEquals(201, scenario.sendRequest("POST", DrainPaths.DRAINS, body, by = other).first)
        scenario.runUntilDone()
        assertNotEquals(0, scenario.stored()?.returned)
        scenario.assertBudgetsKept()
    }

    @Test
    fun `each write of a drain is conditional on the leader's key and the drain's own`() {
        val scenario = DrainScenario(30).startJobs()
        var writes = 0
        scenario.simulation.store.isDelayed = { _, transaction ->
            val keys =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    (it.jsonObject["put"] ?: it.jsonObject["remove"])?.jsonPrimitive?.content
                }
            val conditions =
                transaction.getValue("if").jsonArray.map {
                    it.jsonObject.getValue("k").jsonPrimitive.content
                }
            for (key in keys.filter { it.startsWith(DrainRecord.PREFIX) }) {
                writes++
                assertTrue("leader" in conditions && key in conditions, "$transaction")
            }
            false
        }
        scenario.startDrain()
        scenario.runUntilDone()
        assertTrue(writes > 5)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `writes without an answer that are carried out late`(seed: Long) {
        val scenario = DrainScenario(seed).startJobs().startDrain()
        scenario.simulation.store.delayProbability = 0.3
        scenario.simulation.run(scenario.clock.now + 90.seconds)
        scenario.simulation.store.delayProbability = 0.0
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    private companion object {
        val REQUEST = DrainRequest("d1", DrainSelector(spot = false), graceS = 10.0)
    }
}
