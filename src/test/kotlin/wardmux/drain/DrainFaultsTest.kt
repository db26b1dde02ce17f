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

/** Drains through the failures that they are made for, each brought about on purpose. */
class DrainFaultsTest {
    private fun DrainScenario.crashLeader() =
        simulation.leader()?.let { simulation.crash(it, 3.seconds) }

    private fun DrainScenario.crashAll() {
        for (node in simulation.nodes) simulation.crash(node, 3.seconds)
    }

    /** Calls [action] as the leader sends its [number]th write of a drain from now. */
    private fun DrainScenario.atDrainWrite(number: Int, action: () -> Unit) {
        var seen = 0
        simulation.state.late = { _, transaction ->
            val writes =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    it.jsonObject["put"]?.jsonPrimitive?.content
                }
            if (writes.any { it.startsWith(DrainRecord.PREFIX) } && ++seen == number) action()
            false
        }
    }

    /** What befalls a leader at a write. */
    enum class LeaderFault {
        /** It ends; the write is carried out, and nobody acts on it. */
        ENDS,

        /** It ends once it has acted on the write. */
        ENDS_LATER,

        /** It stands still for longer than its lease, and then goes on. */
        STANDS_STILL,

        /** It reaches neither the state service nor its siblings. */
        IS_CUT_OFF,
    }

    private fun DrainScenario.befall(fault: LeaderFault) {
        val leader = simulation.leader() ?: return
        when (fault) {
            LeaderFault.ENDS -> simulation.crash(leader, 3.seconds)
            LeaderFault.ENDS_LATER ->
                clock.after(400.milliseconds) { simulation.crash(leader, 3.seconds) }
            LeaderFault.STANDS_STILL ->
                clock.after(100.milliseconds) { simulation.freeze(leader, 15.seconds) }
            LeaderFault.IS_CUT_OFF -> {
                simulation.network.cut(leader)
                clock.after(15.seconds) { simulation.network.mend(leader) }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(LeaderFault::class)
    fun `the next leader goes on from any write of a step`(fault: LeaderFault) {
        for (write in 1..8) {
            val day = DrainScenario(20L + write).begin().start()
            day.atDrainWrite(write) { day.befall(fault) }
            day.runUntilDone()
            day.check()
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `late commands of the first leader take nothing beyond the budget`(seed: Long) {
        val day = DrainScenario(seed).begin().start()
        for (worker in day.workers()) day.simulation.lateOrders[worker.id] = 4.seconds
        for (write in listOf(3, 6)) {
            day.atDrainWrite(write) { day.befall(LeaderFault.STANDS_STILL) }
            day.simulation.run(day.clock.now + 60.seconds)
        }
        day.simulation.lateOrders.clear()
        day.runUntilDone()
        day.check(noticedAfter = 20.seconds)
    }

    /** Two machines with a replica each, drained side by side, of which one may be down. */
    private fun sideBySide(seed: Long): Pair<DrainScenario, List<String>> {
        val budget = BudgetSettings(maxDisrupted = 1, stepPauseS = 0.0)
        val day = DrainScenario(seed, DrainSettings(budget = budget))
        day.begin(day.service(0, 3, cpus = 10.0))
        val machines = day.workers().filter { it.tasksThere > 0 }.map { it.id }.take(2)
        for ((number, machine) in machines.withIndex()) {
            day.start(DrainRequest("d${number + 1}", DrainSelector(machines = listOf(machine))))
        }
        return day to machines
    }

    private fun DrainScenario.runUntilBothDone() {
        runUntilDone(id = "d1")
        runUntilDone(id = "d2")
        checkBudgets()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `what an earlier leader may have stopped counts until it is heard of`(seed: Long) {
        val (day, machines) = sideBySide(seed)
        day.runUntil(200.seconds, "a stop") { day.losses.stops.isNotEmpty() }
        // The next leader does not hear of the stop: that machine reaches no controller.
        val stopped =
            day.workers().filter { it.id in machines }.filter { it.tasksThere == 0 }.map { it.id }
        day.simulation.network.mute.addAll(stopped)
        day.crashLeader()
        day.clock.after(25.seconds) { day.simulation.network.mute.removeAll(stopped.toSet()) }
        day.runUntilBothDone()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a stop that is on its way counts also after what is stored was read again`(seed: Long) {
        val (day, machines) = sideBySide(seed)
        val network = day.simulation.network
        // Direct commands take long, and once the stop is sent nothing else gets through.
        for (machine in machines) day.simulation.lateOrders[machine] = 8.seconds
        day.runUntil(200.seconds, "a stop is recorded") {
            listOf("d1", "d2").any { day.stored(it)?.step?.moved?.isNotEmpty() == true }
        }
        val leader = checkNotNull(day.simulation.leader())
        for (machine in machines) network.part(leader, machine)
        // The next placements get no answer, so all is read again.
        var swallowed = 0
        day.simulation.state.late = { _, transaction ->
            "\"tags\"" in transaction.toString() && swallowed++ == 0
        }
        day.submit(day.array(1, 2, 5.0))
        day.clock.after(9.seconds) { for (machine in machines) network.join(leader, machine) }
        day.simulation.run(day.clock.now + 12.seconds)
        assertTrue(swallowed > 0)
        day.simulation.lateOrders.clear()
        day.runUntilBothDone()
    }

    @Test
    fun `a drain yields to urgent work that waits for room, and says so`() {
        val day = DrainScenario(5, capacity = 1)
        day.begin(day.service(0, 2, cpus = 6.0), day.service(1, 2, cpus = 6.0))
        val urgent = day.array(2, 8, 20.0, cpus = 14.0).copy(urgency = PriorityClass.HIGH)
        day.submit(urgent)
        day.simulation.run(day.clock.now + 5.seconds)
        day.start()
        var said = false
        while (day.simulation.rules.finalOf(urgent.id) == null) {
            if ("goes first" in day.status().waitsFor) said = true
            day.simulation.run(day.clock.now + 5.seconds)
            assertTrue(day.clock.now < 900.seconds, "the urgent work never ended")
        }
        assertTrue(said, "it did not say that it yields")
        assertEquals(0, day.stored()?.returned)
        day.runUntilDone()
        day.check()
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `no task is moved before a replacement is up and sound`(sick: Boolean) {
        val day = DrainScenario(7)
        // Fuller than half, so that nothing fits beside what is there.
        day.begin(day.service(0, 3, cpus = 10.0))
        if (sick) day.simulation.cloud.bornSick = true else day.simulation.cloud.stillborn = 1.0
        val before = day.losses.stops.size
        day.start()
        day.simulation.run(day.clock.now + 60.seconds)
        if (!sick) {
            assertEquals(before, day.losses.stops.size, "moved to a machine that is not up")
            assertEquals(StepPhase.PREPARING, day.stored()?.step?.phase)
        }
        day.simulation.cloud.bornSick = false
        day.simulation.cloud.stillborn = 0.0
        for (worker in day.workers()) if (worker !in day.drained) worker.sick = false
        day.runUntilDone()
        day.check()
    }

    @ParameterizedTest
    @ValueSource(strings = ["a", "b", "c"])
    fun `a zone lost in the middle of a step pauses the drain until its work runs again`(
        zone: String
    ) {
        val day = DrainScenario(9).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        for (worker in day.workers().filter { it.zone == zone }) day.simulation.cloud.kill(worker)
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `a worker lost otherwise pauses the step, and its return lets it go on`() {
        val day = DrainScenario(10)
        // Once one of two replicas is moved, its machine has no room for what is lost elsewhere.
        day.begin(day.service(0, 2, cpus = 7.0), day.service(0, 1, cpus = 14.0))
        val first = day.workers().first { it.tasksThere == 2 }
        val second = day.workers().first { it.tasksThere == 1 }
        day.start(DrainRequest("d1", DrainSelector(machines = listOf(first.id))))
        day.runUntil(60.seconds, "a stop") { day.losses.stops.isNotEmpty() }
        assertEquals(200, day.control(DrainApi.PAUSE))
        day.simulation.run(day.clock.now + 20.seconds)
        assertTrue(first.tasksThere > 0, "nothing is left to be moved")
        // What was there finds no machine for a while.
        day.simulation.cloud.stillborn = 1.0
        day.simulation.cloud.kill(second)
        day.simulation.run(day.clock.now + 20.seconds)
        assertEquals(200, day.control(DrainApi.RESUME))
        day.runUntil(30.seconds, "it pauses") { day.stored()?.reason == PauseReason.LOSS }
        assertTrue("workers are disrupted" in day.stored()?.note.orEmpty())
        day.simulation.cloud.stillborn = 0.0
        day.runUntilDone()
        day.checkBudgets()
    }

    @Test
    fun `a wave of spot machines taken back during a drain of spot machines`() {
        val day = DrainScenario(11)
        day.begin(day.array(0, 8, 90.0), day.array(1, 8, 90.0), day.service(2, 2))
        day.start(DrainRequest("d1", DrainSelector(spot = true), graceS = 5.0))
        day.runUntilStep(StepPhase.EMPTYING)
        for (worker in day.workers().filter { it.spot }.drop(1)) {
            worker.recallS = 10.0
            day.clock.after(10.seconds) { day.simulation.cloud.takeBack(worker) }
        }
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `an outage of the state service for longer than a lease`() {
        val day = DrainScenario(13).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        day.simulation.state.outage(null)
        day.simulation.run(day.clock.now + 40.seconds)
        assertEquals(503, day.askOnce("GET", "${DrainApi.PATH}/d1")?.first, "at once")
        day.simulation.state.back(null)
        day.runUntilDone()
        day.check()
    }

    @ParameterizedTest
    @ValueSource(ints = [5, 12, 40])
    fun `a machine that hangs while it is drained and comes back`(inSeconds: Int) {
        val day = DrainScenario(15).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        val names = day.stored()?.step?.machines.orEmpty()
        val hung = day.workers().filter { it.id in names }
        for (worker in hung) worker.hanging = true
        day.clock.after(inSeconds.seconds) { for (worker in hung) worker.hanging = false }
        day.runUntilDone()
        day.check(noticedAfter = 20.seconds)
    }

    @Test
    fun `a machine that crashes while it is drained`() {
        val day = DrainScenario(17).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        val names = day.stored()?.step?.machines.orEmpty()
        for (worker in day.workers().filter { it.id in names }) day.simulation.cloud.kill(worker)
        day.runUntilDone()
        day.check()
    }

    @ParameterizedTest
    @EnumSource(StepPhase::class)
    fun `all controllers are restarted at once`(phase: StepPhase) {
        val day = DrainScenario(19).begin().start()
        day.runUntilStep(phase)
        day.crashAll()
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `a budget lowered below what is out stops nothing more until it is kept again`() {
        val budget = BudgetSettings(maxDisrupted = 3, stepPauseS = 1.0)
        val day = DrainScenario(21, DrainSettings(budget = budget))
        day.begin(day.service(0, 6), day.service(1, 6))
        day.start()
        day.runUntilStep(StepPhase.EMPTYING)
        val lower = DrainSettings(budget = budget.copy(maxDisrupted = 1))
        day.simulation.operatorsOf = { day.operators.copy(drain = lower) }
        val until = day.clock.now + 5.seconds
        day.crashAll()
        day.simulation.run(until)
        val before = day.losses.stops.size
        day.runUntilDone()
        day.check()
        val later = day.losses.stops.drop(before)
        val beyond = later.filter { it.lost.size > 1 }
        assertEquals(
            emptyList(),
            beyond.map { "${it.team} at ${it.at.inSeconds}: ${it.lost.keys}" },
        )
    }

    @Test
    fun `a budget of none is said to be the reason, and a raised one lets the drain go on`() {
        val none = BudgetSettings(maxDisrupted = 0, stepPauseS = 1.0)
        val day = DrainScenario(23, DrainSettings(budget = none))
        day.begin(day.service(0, 3)).start()
        day.runUntil(120.seconds, "paused") { day.stored()?.reason == PauseReason.BUDGET }
        assertTrue("its budget is 0" in day.stored()?.note.orEmpty(), "${day.stored()}")
        day.simulation.run(day.clock.now + 60.seconds)
        assertEquals(emptyList(), day.losses.stops.map { it.team })
        val raised = DrainSettings(budget = none.copy(maxDisrupted = 1))
        day.simulation.operatorsOf = { day.operators.copy(drain = raised) }
        day.crashAll()
        day.runUntilDone()
        assertEquals(emptyList(), day.losses.beyond({ 1 }, 9.seconds))
        assertEquals(emptyList(), day.simulation.problems())
    }

    @Test
    fun `replicas that must stay up stay up`() {
        val budget = BudgetSettings(maxDisrupted = 3, minReplicas = 3, stepPauseS = 1.0)
        val day = DrainScenario(25, DrainSettings(budget = budget))
        val large = day.service(0, 4)
        day.begin(large).start()
        day.runUntilDone()
        day.check()
        assertTrue(day.losses.peakOf("team-0") <= 1, "${day.losses.peakOf("team-0")}")

        val tooMany = DrainScenario(27, DrainSettings(budget = budget.copy(minReplicas = 4)))
        tooMany.begin(tooMany.service(0, 4)).start()
        tooMany.runUntil(120.seconds, "paused") { tooMany.stored()?.reason == PauseReason.BUDGET }
        assertTrue("must stay up" in tooMany.stored()?.note.orEmpty())
        assertEquals(0, tooMany.losses.stops.size)
    }

    @Test
    fun `a version without drains leads for a while and destroys nothing`() {
        val day = DrainScenario(29).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        val before = day.stored()
        day.simulation.operatorsOf = { OperatorSettings() }
        day.crashAll()
        day.simulation.run(day.clock.now + 60.seconds)
        assertEquals(before, day.stored())
        assertEquals(404, day.askOnce("GET", "${DrainApi.PATH}/d1")?.first)
        day.simulation.operatorsOf = { day.operators }
        day.crashAll()
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `with drains beside controllers of a version that has none`() {
        val day = DrainScenario(31)
        day.simulation.operatorsOf = { if (it == "n1") OperatorSettings() else day.operators }
        for (node in day.simulation.nodes) day.simulation.crash(node, 1.seconds)
        day.begin()
        day.runUntil(60.seconds, "a leader") { day.simulation.leader() != null }
        while (day.simulation.leader() == "n1") {
            day.crashLeader()
            day.simulation.run(day.clock.now + 10.seconds)
        }
        val other = day.simulation.nodes.first { it != "n1" && it != day.simulation.leader() }
        val body = operatorJson.encodeToString(DrainRequest.serializer(), REQUEST)
        assertEquals(201, day.ask("POST", DrainApi.PATH, body, by = other).first)
        day.runUntilDone()
        assertNotEquals(0, day.stored()?.returned)
        day.checkBudgets()
    }

    @Test
    fun `each write of a drain holds only under its leader's key and the drain's own`() {
        val day = DrainScenario(30).begin()
        var writes = 0
        day.simulation.state.late = { _, transaction ->
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
        day.start()
        day.runUntilDone()
        assertTrue(writes > 5)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `writes that get no answer and are carried out late`(seed: Long) {
        val day = DrainScenario(seed).begin().start()
        day.simulation.state.lateWrites = 0.3
        day.simulation.run(day.clock.now + 90.seconds)
        day.simulation.state.lateWrites = 0.0
        day.runUntilDone()
        day.check(noticedAfter = 20.seconds)
    }

    private companion object {
        val REQUEST = DrainRequest("d1", DrainSelector(spot = false), graceS = 10.0)
    }
}
