package wardmux.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.maintenance.WindowSettings
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.sim.ClusterSimulation

/** What operators ask for, and what they are told. */
class DrainOperationsTest {
    private fun body(request: DrainRequest) =
        operatorJson.encodeToString(DrainRequest.serializer(), request)

    private val ordinary = DrainRequest("d1", DrainSelector(spot = false), graceS = 10.0)

    @ParameterizedTest
    @EnumSource(StepPhase::class)
    fun `a drain that is cancelled in a step gives its machines back`(phase: StepPhase) {
        val service =
            DrainScenario(3).let { day ->
                val service = day.service(0, 4)
                day.begin(service, day.service(1, 3), day.array(2, 3, 60.0)).start()
                day.runUntilStep(phase)
                assertEquals(200, day.control(DrainApi.CANCEL))
                day.simulation.run(day.clock.now + 20.seconds)
                val before = day.losses.stops.size
                day.simulation.run(day.clock.now + 60.seconds)
                assertEquals(before, day.losses.stops.size, "it goes on")
                assertEquals(DrainState.CANCELLED, day.state())
                assertEquals(200, day.control(DrainApi.CANCEL), "a repeat")
                assertEquals(409, day.control(DrainApi.RESUME))
                assertTrue(day.runs(service))
                day.checkBudgets()
                // Machines that stay take tasks: a new drain finds them as any others.
                day.start(DrainRequest("d2", DrainSelector(spot = false), graceS = 10.0))
                day.runUntilDone(id = "d2")
                service
            }
        assertEquals(4, service.tasks)
    }

    @Test
    fun `machines of a cancelled drain take tasks again`() {
        val day = DrainScenario(7, capacity = 1)
        day.begin(day.service(0, 2, cpus = 4.0), day.service(1, 2, cpus = 4.0))
        val busy = day.workers().first { it.tasksThere > 1 }.id
        day.start(DrainRequest("d1", DrainSelector(machines = listOf(busy))))
        day.runUntilStep(StepPhase.EMPTYING)
        val machines = day.stored()?.step?.machines.orEmpty()
        assertEquals(200, day.control(DrainApi.CANCEL))
        // More than all other machines hold.
        for (team in 0..2) day.submit(day.array(team, 16, 200.0).copy(spot = true))
        val left = day.workers().filter { it.id in machines }
        assertTrue(left.isNotEmpty())
        day.runUntil(60.seconds, "it takes tasks") { left.all { it.view().freeCpus < 3.0 } }
    }

    @Test
    fun `a drain that is cancelled before its first step, while paused, and when done`() {
        val closed = WindowSettings("FREQ=YEARLY", "03:00", 3600.0, "1971-01-01")
        val budget = BudgetSettings(stepPauseS = 1.0)
        val planned = DrainScenario(4, DrainSettings(budget = budget, windows = listOf(closed)))
        planned.begin().start()
        planned.simulation.run(planned.clock.now + 30.seconds)
        assertEquals(DrainState.PLANNED, planned.state())
        assertTrue("1971-01-01T03:00:00Z" in planned.status().waitsFor, planned.status().waitsFor)
        assertEquals(200, planned.control(DrainApi.CANCEL))
        assertEquals(DrainState.CANCELLED, planned.state())

        val paused = DrainScenario(5).begin().start()
        paused.runUntilStep(StepPhase.EMPTYING)
        assertEquals(200, paused.control(DrainApi.PAUSE))
        assertEquals(200, paused.control(DrainApi.CANCEL))
        assertEquals(DrainState.CANCELLED, paused.state())

        val done = DrainScenario(6).begin().start()
        done.runUntilDone()
        assertEquals(409, done.control(DrainApi.CANCEL))
        assertEquals(409, done.control(DrainApi.PAUSE))
        assertEquals(DrainState.DONE, done.state())
    }

    @Test
    fun `a paused drain stops nothing until it is resumed, also under the next leader`() {
        val day = DrainScenario(8).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        assertEquals(200, day.control(DrainApi.PAUSE))
        day.simulation.run(day.clock.now + 20.seconds)
        val before = day.losses.stops.size
        day.simulation.leader()?.let { day.simulation.crash(it, 3.seconds) }
        day.simulation.run(day.clock.now + 60.seconds)
        assertEquals(before, day.losses.stops.size)
        assertEquals(PauseReason.OPERATOR, day.status().record.reason)
        assertEquals(200, day.control(DrainApi.RESUME))
        day.runUntilDone()
        day.check()
    }

    @ParameterizedTest
    @EnumSource(DeadlineAction::class)
    fun `at its deadline a drain pauses or goes on, as it was asked to`(action: DeadlineAction) {
        val day = DrainScenario(9).begin()
        val request = ordinary.copy(deadline = "1970-01-01T00:00:50Z", atDeadline = action)
        day.start(request)
        day.simulation.run(300.seconds)
        if (action == DeadlineAction.PAUSE) {
            assertEquals(PauseReason.DEADLINE, day.status().record.reason)
            assertEquals(200, day.control(DrainApi.RESUME))
        }
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `what is stored keeps its form, and an unknown form is left alone`() {
        val step =
            """{"number":3,"phase":"emptying","machines":["i-000004"],""" +
                """"moved":["job-000001/2"],"began_at":5,"emptying_since":6}"""
        val request =
            """{"id":"d1","select":{"machines":[],"types":["mid"],"zones":[],"spot":true},""" +
                """"order":"by_zone","step_size":4,"grace_s":9.0,"at_deadline":"continue"}"""
        val stored =
            """{"request":$request,"state":"running","token":7,"started_at":1,"changed_at":2,"newest":"i-000009",""" +
                """"note":"","step":$step,"steps_done":2,"returned":8,"moved":11,""" +
                """"step_ended_at":4,"last_step":3}"""
        val record = lenientJson.decodeFromString(DrainRecord.serializer(), stored)
        assertEquals(stored, record.toJson().toString())

        val day = DrainScenario(11).begin()
        val unknown = lenientJson.parseToJsonElement(stored.replace("by_zone", "by_moon"))
        day.simulation.state.write(DrainRecord.key("d1"), unknown)
        day.simulation.leader()?.let { day.simulation.crash(it, 3.seconds) }
        day.simulation.run(day.clock.now + 40.seconds)
        assertEquals(409, day.ask("GET", "${DrainApi.PATH}/d1").first)
        assertEquals(409, day.ask("POST", DrainApi.PATH, body(ordinary)).first)
        assertTrue("\"unreadable\":[\"d1\"]" in day.ask("GET", DrainApi.PATH).second)
        assertEquals(unknown, day.simulation.state.value(DrainRecord.key("d1")))
    }

    @Test
    fun `a repeated start is the same drain, and a late one too`() {
        val day = DrainScenario(10).begin().start()
        assertEquals(200, day.ask("POST", DrainApi.PATH, body(ordinary)).first)
        day.runUntilDone()
        assertEquals(200, day.ask("POST", DrainApi.PATH, body(ordinary)).first)
        assertEquals(DrainState.DONE, day.state())
        assertEquals(1, day.stored()?.let { 1 })
    }

    @Test
    fun `several drains share the budgets, and two that name the same machines agree`() {
        val day = DrainScenario(12)
        day.begin(day.service(0, 6), day.service(1, 4)).start()
        val zones = DrainRequest("d2", DrainSelector(zones = listOf("a", "b", "c"), spot = false))
        assertEquals(201, day.ask("POST", DrainApi.PATH, body(zones)).first)
        day.runUntilDone(id = "d1")
        day.runUntilDone(id = "d2")
        day.check()
        val returned = (day.stored("d1")?.returned ?: 0) + (day.stored("d2")?.returned ?: 0)
        assertEquals(day.drained.size, returned, "each machine is returned by one of them")
    }

    @Test
    fun `a gang is stopped as one within the budget, or not at all`() {
        val most = 3
        val budget = BudgetSettings(maxDisrupted = most, stepPauseS = 1.0)
        val day = DrainScenario(14, DrainSettings(budget = budget))
        val small = day.array(0, 3, 400.0, cpus = 4.0).copy(shape = JobKind.GANG, spot = false)
        val large = day.array(1, 4, 400.0, cpus = 4.0).copy(shape = JobKind.GANG, spot = false)
        day.simulation.gangs.lengths[small.id] = 300.seconds
        day.simulation.gangs.lengths[large.id] = 300.seconds
        day.begin(small, large).start(ordinary.copy(graceS = 0.0))
        day.runUntilDone(1500.seconds)
        day.check()
        assertTrue(day.losses.stops.any { it.team == "team-0" }, "the small one was not moved")
        assertTrue(day.losses.stops.none { it.team == "team-1" }, "the large one was stopped")
    }

    @Test
    fun `where a zone has no room, the machines that can be replaced go first`() {
        val day = DrainScenario(16, capacity = 1)
        val bound = day.service(0, 1, cpus = 12.0).copy(zone = "b")
        day.begin(bound, day.service(1, 2, cpus = 4.0)).start(ordinary.copy(stepSize = 1))
        day.runUntil(600.seconds, "a machine is returned") { (day.stored()?.returned ?: 0) > 0 }
        assertTrue(day.runs(bound), "its only machine was taken")
        day.checkBudgets()
    }

    @Test
    fun `a check shows steps, budgets and what would stop it, and starts nothing`() {
        val day = DrainScenario(18)
        day.begin(day.service(0, 4)).ask("GET", DrainApi.PATH)
        val (status, text) = day.ask("POST", "${DrainApi.PATH}/${DrainApi.CHECK}", body(ordinary))
        assertEquals(200, status, text)
        val check = operatorJson.decodeFromString(DrainCheck.serializer(), text)
        assertEquals(check.machines, check.steps.sumOf { it.size })
        assertEquals(listOf("team-0"), check.budgets.map { it.team })
        assertEquals(4, check.tasksToMove)
        assertNull(day.stored())

        val none = DrainSettings(budget = BudgetSettings(maxDisrupted = 0))
        val never = DrainScenario(18, none)
        never.begin(never.service(0, 4))
        val said = never.ask("POST", "${DrainApi.PATH}/${DrainApi.CHECK}", body(ordinary)).second
        assertTrue("its budget is 0" in said, said)
    }

    @ParameterizedTest
    @CsvSource(
        "id,''",
        "id,../x",
        "id,check",
        "grace_s,-1",
        "step_size,0",
        "deadline,yesterday",
        "deadline,1970-01-01T00:00:01Z",
        "at_deadline,explode",
        "select,nothing",
        "select.machines,i-999999",
        "select.types,none",
        "select.zones,z",
        "select.older_than,noon",
        "selection,x",
    )
    fun `a wrong request is named by its field`(field: String, value: String) {
        val select =
            when (field) {
                "select" -> "{}"
                "select.machines" -> """{"machines":["$value"]}"""
                "select.types" -> """{"types":["$value"]}"""
                "select.zones" -> """{"zones":["$value"]}"""
                "select.older_than" -> """{"older_than":"$value"}"""
                else -> """{"spot":false}"""
            }
        val id = if (field == "id") value else "d1"
        val isNumber = value.toDoubleOrNull() != null
        val own = if (isNumber) value else "\"$value\""
        val extra =
            if ('.' in field || field in listOf("id", "select")) "" else ""","$field":$own"""
        val request = """{"id":"$id","select":$select$extra}"""
        val (status, text) = WRONG.ask("POST", DrainApi.PATH, request)
        assertEquals(400, status, text)
        val named = field.substringAfterLast('.')
        assertTrue(named in text, "$text does not name $named")
        assertTrue(DrainText.error(text).lines().size == 1)
    }

    @Test
    fun `what selects nothing, what is unknown and what is no path`() {
        val empty = DrainRequest("d9", DrainSelector(olderThan = "1970-01-01T00:00:00Z"))
        assertEquals(400, WRONG.ask("POST", DrainApi.PATH, body(empty)).first)
        assertEquals(404, WRONG.ask("GET", "${DrainApi.PATH}/d7").first)
        assertEquals(404, WRONG.ask("POST", "${DrainApi.PATH}/d7/cancel").first)
        assertEquals(404, WRONG.ask("GET", "/nowhere").first)
        assertEquals(405, WRONG.ask("DELETE", "${DrainApi.PATH}/d7").first)
    }

    @Test
    fun `while leadership changes, questions are answered from the store with their age`() {
        val day = DrainScenario(20).begin().start()
        day.runUntilStep(StepPhase.EMPTYING)
        val leader = checkNotNull(day.simulation.leader())
        val other = day.simulation.nodes.first { it != leader }
        assertEquals(Source.LEADER, day.status(by = other).source)
        day.simulation.crash(leader, 10.seconds)
        var refused: Int? = null
        day.simulation.operate("POST", "${DrainApi.PATH}/d1/pause", by = other) { status, _ ->
            refused = status
        }
        val told = day.status(by = other)
        assertEquals(Source.STORE, told.source)
        assertEquals(day.stored()?.startedAt, told.record.startedAt)
        assertEquals(503, refused)
        day.runUntilDone()
        day.check()
    }

    @Test
    fun `switched off, nothing of drains is stored, read or told`() {
        val on = requests(OperatorSettings(drain = DrainSettings()))
        val off = requests(OperatorSettings())
        assertTrue(on.any { DrainRecord.PREFIX in it.substringAfter("under=", "") })
        assertTrue(off.none { it.contains("under=${DrainRecord.PREFIX}") })
        assertTrue(off.none { "\"put\":\"${DrainRecord.PREFIX}" in it })
        assertTrue(off.none { DrainApi.PEER_PATH in it })
    }

    /** All that controllers ask of the state service on a short day. */
    private fun requests(operators: OperatorSettings): List<String> {
        val simulation = ClusterSimulation(1, operators = operators)
        val seen = ArrayList<String>()
        simulation.state.heard = { path, body -> seen.add("$path $body") }
        repeat(5) { simulation.submit(simulation.randomJob()) }
        simulation.run(60.seconds)
        return seen
    }

    private companion object {
        /** A day on which nothing is drained, for requests that are wrong. */
        val WRONG =
            DrainScenario(22).begin().also { it.simulation.run(Micros(it.clock.now.value + 1)) }
    }
}
