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

/**
 * Drains during faults of controllers, machines, the cloud and the key-value store, each injected
 * on purpose. They guard against drains that exceed a disruption budget, because the leader does
 * not know of evictions by an earlier leader or of other losses, and against drains that stall.
 */
class DrainFaultsTest {
    /** Crashes the leader, if there is one. It restarts 3 s later. */
    private fun DrainScenario.crashLeader() =
        simulation.leader()?.let { simulation.crash(it, 3.seconds) }

    /** Crashes all controllers at once; they restart 3 s later. */
    private fun DrainScenario.crashAllControllers() {
        for (node in simulation.nodes) simulation.crash(node, 3.seconds)
    }

    /**
     * Calls [action] when the key-value store gets the [number]th write of a drain from now, before
     * the write is carried out.
     */
    private fun DrainScenario.onDrainWrite(number: Int, action: () -> Unit) {
        var writeCount = 0
        simulation.store.isDelayed = { _, transaction ->
            val writes =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    it.jsonObject["put"]?.jsonPrimitive?.content
                }
            if (writes.any { it.startsWith(DrainRecord.PREFIX) } && ++writeCount == number) action()
            false
        }
    }

    /** A fault of the leader that is injected when it writes a drain. */
    enum class LeaderFault {
        /** It crashes at once. The write is carried out, but no controller acts on it. */
        CRASHES,

        /** It crashes 400 ms later, when it has acted on the write. */
        CRASHES_LATER,

        /** It is frozen for 15 s, which is longer than its lease, and then continues. */
        FREEZES,

        /**
         * A network partition holds all its messages for 15 s, so it reaches neither the key-value
         * store nor its peers.
         */
        IS_PARTITIONED,
    }

    /** Injects [fault] into the leader, if there is one. */
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
    fun `the next leader continues a drain after a fault at any write of a step`(
        fault: LeaderFault
    ) {
        for (write in 1..8) {
            val scenario = DrainScenario(20L + write).startJobs().startDrain()
            scenario.onDrainWrite(write) { scenario.inject(fault) }
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
            scenario.onDrainWrite(write) { scenario.inject(LeaderFault.FREEZES) }
            scenario.simulation.run(scenario.clock.now + 60.seconds)
        }
        scenario.simulation.commandDelays.clear()
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    /**
     * Starts a drain for each of two machines that run one replica of the same service. The budget
     * allows only one disrupted replica.
     *
     * @return the scenario and the ids of the two machines
     */
    private fun startTwoDrains(seed: Long): Pair<DrainScenario, List<String>> {
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
    fun `possible evictions by an earlier leader count until the machine sends a heartbeat`(
        seed: Long
    ) {
        val (scenario, machines) = startTwoDrains(seed)
        scenario.runUntil(200.seconds, "a stop of a task") {
            scenario.disruptions.stops.isNotEmpty()
        }
        // The next leader does not learn of the stop, because the machine reaches no controller.
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
    fun `an eviction in flight still counts after the leader reloaded the stored state`(
        seed: Long
    ) {
        val (scenario, machines) = startTwoDrains(seed)
        val network = scenario.simulation.network
        // Direct commands take 8 s. After the stop is sent, nothing else from the leader
        // reaches these machines.
        for (machine in machines) scenario.simulation.commandDelays[machine] = 8.seconds
        scenario.runUntil(200.seconds, "a recorded stop of a task") {
            listOf("d1", "d2").any { scenario.stored(it)?.step?.moved?.isNotEmpty() == true }
        }
        val leader = checkNotNull(scenario.simulation.leader())
        for (machine in machines) network.blockPath(leader, machine)
        // The next write of placements gets no response, so the leader reloads the stored state.
        var unansweredWrites = 0
        scenario.simulation.store.isDelayed = { _, transaction ->
            "\"tags\"" in transaction.toString() && unansweredWrites++ == 0
        }
        scenario.submit(scenario.array(1, 2, 5.0))
        scenario.clock.after(9.seconds) {
            for (machine in machines) network.unblockPath(leader, machine)
        }
        scenario.simulation.run(scenario.clock.now + 12.seconds)
        assertTrue(unansweredWrites > 0, "expected a write of placements without a response")
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
        var isReported = false
        while (scenario.simulation.invariants.finalStateOf(urgent.id) == null) {
            if ("takes precedence" in scenario.status().waitsFor) isReported = true
            scenario.simulation.run(scenario.clock.now + 5.seconds)
            assertTrue(scenario.clock.now < 900.seconds, "expected the urgent work to end by 900 s")
        }
        assertTrue(isReported, "expected a status that names the work that takes precedence")
        assertEquals(0, scenario.stored()?.returned)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `no task is evicted before a replacement is up and healthy`(newMachinesUnhealthy: Boolean) {
        val scenario = DrainScenario(7)
        // Each replica takes more than half of a machine, so two of them never fit on one.
        scenario.startJobs(scenario.service(0, 3, cpus = 10.0))
        if (newMachinesUnhealthy) scenario.simulation.cloud.newMachinesFailTasks = true
        else scenario.simulation.cloud.startFailureProbability = 1.0
        val stopsBefore = scenario.disruptions.stops.size
        scenario.startDrain()
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        if (!newMachinesUnhealthy) {
            assertEquals(
                stopsBefore,
                scenario.disruptions.stops.size,
                "stops of tasks; expected none while no replacement machine is up",
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
    fun `a drain completes within its budgets after the loss of a zone during a step`(
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
    fun `a task lost for another reason pauses the drain until the task runs again`() {
        val scenario = DrainScenario(10)
        // After one of its two replicas is moved, the first machine still lacks capacity for the
        // replica that is lost on the other machine.
        scenario.startJobs(scenario.service(0, 2, cpus = 7.0), scenario.service(0, 1, cpus = 14.0))
        val drained = scenario.workers().first { it.activeTasks == 2 }
        val crashed = scenario.workers().first { it.activeTasks == 1 }
        scenario.startDrain(DrainRequest("d1", DrainSelector(machines = listOf(drained.id))))
        scenario.runUntil(60.seconds, "a stop of a task") {
            scenario.disruptions.stops.isNotEmpty()
        }
        assertEquals(200, scenario.control(DrainPaths.PAUSE))
        scenario.simulation.run(scenario.clock.now + 20.seconds)
        assertTrue(drained.activeTasks > 0, "expected a replica to be left on the drained machine")
        // The lost replica finds no machine while new machines fail to start.
        scenario.simulation.cloud.startFailureProbability = 1.0
        scenario.simulation.cloud.crash(crashed)
        scenario.simulation.run(scenario.clock.now + 20.seconds)
        assertEquals(200, scenario.control(DrainPaths.RESUME))
        scenario.runUntil(30.seconds, "a pause because of a loss") {
            scenario.stored()?.reason == PauseReason.LOSS
        }
        assertTrue(
            "workers are disrupted" in scenario.stored()?.note.orEmpty(),
            "expected a note about disrupted tasks in ${scenario.stored()}",
        )
        scenario.simulation.cloud.startFailureProbability = 0.0
        scenario.runUntilDone()
        scenario.assertBudgetsKept()
    }

    @Test
    fun `a drain of spot machines completes despite preemptions of most of them`() {
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
    fun `a drain continues after a store outage that is longer than the leader lease`() {
        val scenario = DrainScenario(13).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        scenario.simulation.store.startOutage(null)
        scenario.simulation.run(scenario.clock.now + 40.seconds)
        assertEquals(
            503,
            scenario.sendRequestOnce("GET", "${DrainPaths.DRAINS}/d1")?.first,
            "status of the response during the outage",
        )
        scenario.simulation.store.endOutage(null)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @ValueSource(ints = [5, 12, 40])
    fun `a drain completes although its machines are unresponsive for a while`(durationS: Int) {
        val scenario = DrainScenario(15).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val machinesInStep = scenario.stored()?.step?.machines.orEmpty()
        val unresponsive = scenario.workers().filter { it.id in machinesInStep }
        for (worker in unresponsive) worker.unresponsive = true
        scenario.clock.after(durationS.seconds) {
            for (worker in unresponsive) worker.unresponsive = false
        }
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    @Test
    fun `a drain completes although the machines of its step crash`() {
        val scenario = DrainScenario(17).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val machinesInStep = scenario.stored()?.step?.machines.orEmpty()
        for (worker in scenario.workers().filter { it.id in machinesInStep }) scenario.simulation
            .cloud
            .crash(worker)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @EnumSource(StepPhase::class)
    fun `a drain continues after all controllers restart in any phase of a step`(phase: StepPhase) {
        val scenario = DrainScenario(19).startJobs().startDrain()
        scenario.runUntilStep(phase)
        scenario.crashAllControllers()
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `no task is evicted while more tasks are disrupted than a lowered budget allows`() {
        val budget = BudgetSettings(maxDisrupted = 3, stepPauseS = 1.0)
        val scenario = DrainScenario(21, DrainSettings(budget = budget))
        scenario.startJobs(scenario.service(0, 6), scenario.service(1, 6))
        scenario.startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val loweredSettings = DrainSettings(budget = budget.copy(maxDisrupted = 1))
        scenario.simulation.operatorSettingsOf = {
            scenario.operators.copy(drain = loweredSettings)
        }
        val restartEnd = scenario.clock.now + 5.seconds
        scenario.crashAllControllers()
        scenario.simulation.run(restartEnd)
        val stopsBefore = scenario.disruptions.stops.size
        scenario.runUntilDone()
        scenario.assertDrained()
        val laterStops = scenario.disruptions.stops.drop(stopsBefore)
        val stopsOverBudget = laterStops.filter { it.disrupted.size > 1 }
        assertEquals(
            emptyList(),
            stopsOverBudget.map { "${it.team} at ${it.at.inSeconds} s: ${it.disrupted.keys}" },
            "stops after the restart that left more than 1 task disrupted",
        )
    }

    @Test
    fun `a budget of zero is reported as the reason, and a raised one resumes the drain`() {
        val zeroBudget = BudgetSettings(maxDisrupted = 0, stepPauseS = 1.0)
        val scenario = DrainScenario(23, DrainSettings(budget = zeroBudget))
        scenario.startJobs(scenario.service(0, 3)).startDrain()
        scenario.runUntil(120.seconds, "a pause because of the budget") {
            scenario.stored()?.reason == PauseReason.BUDGET
        }
        assertTrue(
            "its budget is 0" in scenario.stored()?.note.orEmpty(),
            "expected a note about a budget of 0 in ${scenario.stored()}",
        )
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        assertEquals(emptyList(), scenario.disruptions.stops.map { it.team })
        val raisedSettings = DrainSettings(budget = zeroBudget.copy(maxDisrupted = 1))
        scenario.simulation.operatorSettingsOf = { scenario.operators.copy(drain = raisedSettings) }
        scenario.crashAllControllers()
        scenario.runUntilDone()
        assertEquals(emptyList(), scenario.disruptions.stopsOverLimit({ 1 }, 9.seconds))
        assertEquals(emptyList(), scenario.simulation.violations())
    }

    @Test
    fun `a drain keeps the minimum of replicas running, and pauses if it can not`() {
        val budget = BudgetSettings(maxDisrupted = 3, minReplicas = 3, stepPauseS = 1.0)
        val scenario = DrainScenario(25, DrainSettings(budget = budget))
        val service = scenario.service(0, 4)
        scenario.startJobs(service).startDrain()
        scenario.runUntilDone()
        scenario.assertDrained()
        assertTrue(
            scenario.disruptions.peakOf("team-0") <= 1,
            "expected at most 1 disrupted replica, got ${scenario.disruptions.peakOf("team-0")}",
        )

        val allReplicasRequired =
            DrainScenario(27, DrainSettings(budget = budget.copy(minReplicas = 4)))
        allReplicasRequired.startJobs(allReplicasRequired.service(0, 4)).startDrain()
        allReplicasRequired.runUntil(120.seconds, "a pause because of the budget") {
            allReplicasRequired.stored()?.reason == PauseReason.BUDGET
        }
        assertTrue(
            "must stay up" in allReplicasRequired.stored()?.note.orEmpty(),
            "expected a note about the minimum of replicas in ${allReplicasRequired.stored()}",
        )
        assertEquals(0, allReplicasRequired.disruptions.stops.size)
    }

    @Test
    fun `a leader with drains switched off leaves the records of drains unchanged`() {
        val scenario = DrainScenario(29).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val recordBefore = scenario.stored()
        scenario.simulation.operatorSettingsOf = { OperatorSettings() }
        scenario.crashAllControllers()
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        assertEquals(recordBefore, scenario.stored())
        assertEquals(404, scenario.sendRequestOnce("GET", "${DrainPaths.DRAINS}/d1")?.first)
        scenario.simulation.operatorSettingsOf = { scenario.operators }
        scenario.crashAllControllers()
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `a drain completes although one controller has drains switched off`() {
        val scenario = DrainScenario(31)
        scenario.simulation.operatorSettingsOf = {
            if (it == "n1") OperatorSettings() else scenario.operators
        }
        for (node in scenario.simulation.nodes) scenario.simulation.crash(node, 1.seconds)
        scenario.startJobs()
        scenario.runUntil(60.seconds, "an elected leader") { scenario.simulation.leader() != null }
        while (scenario.simulation.leader() == "n1") {
            scenario.crashLeader()
            scenario.simulation.run(scenario.clock.now + 10.seconds)
        }
        val follower =
            scenario.simulation.nodes.first { it != "n1" && it != scenario.simulation.leader() }
        val body = operatorJson.encodeToString(DrainRequest.serializer(), ORDINARY_MACHINES_REQUEST)
        assertEquals(
            201,
            scenario.sendRequest("POST", DrainPaths.DRAINS, body, by = follower).first,
        )
        scenario.runUntilDone()
        assertNotEquals(0, scenario.stored()?.returned)
        scenario.assertBudgetsKept()
    }

    @Test
    fun `each write of a drain depends on the versions of the leader key and the drain key`() {
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
                assertTrue(
                    "leader" in conditions && key in conditions,
                    "expected conditions on leader and $key: $transaction",
                )
            }
            false
        }
        scenario.startDrain()
        scenario.runUntilDone()
        assertTrue(writes > 5, "expected more than 5 writes of the drain, saw $writes")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a drain keeps its budgets although writes get no response and are carried out late`(
        seed: Long
    ) {
        val scenario = DrainScenario(seed).startJobs().startDrain()
        scenario.simulation.store.delayProbability = 0.3
        scenario.simulation.run(scenario.clock.now + 90.seconds)
        scenario.simulation.store.delayProbability = 0.0
        scenario.runUntilDone()
        scenario.assertDrained(detectionDelay = 20.seconds)
    }

    private companion object {
        val ORDINARY_MACHINES_REQUEST =
            DrainRequest("d1", DrainSelector(spot = false), graceS = 10.0)
    }
}
