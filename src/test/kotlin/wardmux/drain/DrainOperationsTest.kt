package wardmux.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import wardmux.cli.DrainText
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.maintenance.WindowSettings
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.sim.ClusterSimulation

/**
 * Requests of operators to start, check, pause, resume and cancel drains, and the responses. Guards
 * against machines that stay cordoned after a cancellation, paused drains that evict tasks,
 * repeated requests that start a drain twice, and error responses that do not name the invalid
 * field.
 */
class DrainOperationsTest {
    private fun body(request: DrainRequest) =
        operatorJson.encodeToString(DrainRequest.serializer(), request)

    private val ordinaryMachinesRequest =
        DrainRequest("d1", DrainSelector(spot = false), graceS = 10.0)

    @ParameterizedTest
    @EnumSource(StepPhase::class)
    fun `a cancelled drain evicts no further task, and its machines can be drained again`(
        phase: StepPhase
    ) {
        val service =
            DrainScenario(3).let { scenario ->
                val service = scenario.service(0, 4)
                scenario
                    .startJobs(service, scenario.service(1, 3), scenario.array(2, 3, 60.0))
                    .startDrain()
                scenario.runUntilStep(phase)
                assertEquals(200, scenario.control(DrainPaths.CANCEL))
                scenario.simulation.run(scenario.clock.now + 20.seconds)
                val stopsBefore = scenario.disruptions.stops.size
                scenario.simulation.run(scenario.clock.now + 60.seconds)
                assertEquals(
                    stopsBefore,
                    scenario.disruptions.stops.size,
                    "stops of tasks; expected none after the cancellation",
                )
                assertEquals(DrainState.CANCELLED, scenario.state())
                assertEquals(
                    200,
                    scenario.control(DrainPaths.CANCEL),
                    "status of the response to a repeated cancellation",
                )
                assertEquals(409, scenario.control(DrainPaths.RESUME))
                assertTrue(
                    scenario.allReplicasRun(service),
                    "expected all replicas of team-0 to run",
                )
                scenario.assertBudgetsKept()
                // The machines are not cordoned any more, so a new drain can select them.
                scenario.startDrain(DrainRequest("d2", DrainSelector(spot = false), graceS = 10.0))
                scenario.runUntilDone(id = "d2")
                service
            }
        assertEquals(4, service.tasks)
    }

    @Test
    fun `machines of a cancelled drain take tasks again`() {
        val scenario = DrainScenario(7, capacity = 1)
        scenario.startJobs(scenario.service(0, 2, cpus = 4.0), scenario.service(1, 2, cpus = 4.0))
        val busy = scenario.workers().first { it.activeTasks > 1 }.id
        scenario.startDrain(DrainRequest("d1", DrainSelector(machines = listOf(busy))))
        scenario.runUntilStep(StepPhase.EMPTYING)
        val machines = scenario.stored()?.step?.machines.orEmpty()
        assertEquals(200, scenario.control(DrainPaths.CANCEL))
        // These tasks need more capacity than all other machines have.
        for (team in 0..2) scenario.submit(scenario.array(team, 16, 200.0).copy(spot = true))
        val uncordoned = scenario.workers().filter { it.id in machines }
        assertTrue(uncordoned.isNotEmpty(), "expected a machine of the step to be up")
        scenario.runUntil(60.seconds, "tasks on each machine of the cancelled step") {
            uncordoned.all { it.view().freeCpus < 3.0 }
        }
    }

    @Test
    fun `a drain can be cancelled before its first step or while paused, but not when done`() {
        val yearlyWindow = WindowSettings("FREQ=YEARLY", "03:00", 3600.0, "1971-01-01")
        val budget = BudgetSettings(stepPauseS = 1.0)
        val planned =
            DrainScenario(4, DrainSettings(budget = budget, windows = listOf(yearlyWindow)))
        planned.startJobs().startDrain()
        planned.simulation.run(planned.clock.now + 30.seconds)
        assertEquals(DrainState.PLANNED, planned.state())
        assertTrue(
            "1971-01-01T03:00:00Z" in planned.status().waitsFor,
            "expected the start of the next window, got ${planned.status().waitsFor}",
        )
        assertEquals(200, planned.control(DrainPaths.CANCEL))
        assertEquals(DrainState.CANCELLED, planned.state())

        val paused = DrainScenario(5).startJobs().startDrain()
        paused.runUntilStep(StepPhase.EMPTYING)
        assertEquals(200, paused.control(DrainPaths.PAUSE))
        assertEquals(200, paused.control(DrainPaths.CANCEL))
        assertEquals(DrainState.CANCELLED, paused.state())

        val done = DrainScenario(6).startJobs().startDrain()
        done.runUntilDone()
        assertEquals(409, done.control(DrainPaths.CANCEL))
        assertEquals(409, done.control(DrainPaths.PAUSE))
        assertEquals(DrainState.DONE, done.state())
    }

    @Test
    fun `a paused drain evicts nothing until it is resumed, also under the next leader`() {
        val scenario = DrainScenario(8).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        assertEquals(200, scenario.control(DrainPaths.PAUSE))
        scenario.simulation.run(scenario.clock.now + 20.seconds)
        val stopsBefore = scenario.disruptions.stops.size
        scenario.simulation.leader()?.let { scenario.simulation.crash(it, 3.seconds) }
        scenario.simulation.run(scenario.clock.now + 60.seconds)
        assertEquals(
            stopsBefore,
            scenario.disruptions.stops.size,
            "stops of tasks; expected none while the drain is paused",
        )
        assertEquals(PauseReason.OPERATOR, scenario.status().record.reason)
        assertEquals(200, scenario.control(DrainPaths.RESUME))
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @ParameterizedTest
    @EnumSource(DeadlineAction::class)
    fun `a drain pauses or continues at its deadline, as requested`(action: DeadlineAction) {
        val scenario = DrainScenario(9).startJobs()
        val request =
            ordinaryMachinesRequest.copy(deadline = "1970-01-01T00:00:50Z", atDeadline = action)
        scenario.startDrain(request)
        scenario.simulation.run(300.seconds)
        if (action == DeadlineAction.PAUSE) {
            assertEquals(PauseReason.DEADLINE, scenario.status().record.reason)
            assertEquals(200, scenario.control(DrainPaths.RESUME))
        }
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    @Test
    fun `the format of stored drains stays, and an unreadable record is not changed`() {
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

        val scenario = DrainScenario(11).startJobs()
        val unreadableRecord = lenientJson.parseToJsonElement(stored.replace("by_zone", "by_moon"))
        scenario.simulation.store.write(DrainRecord.key("d1"), unreadableRecord)
        scenario.simulation.leader()?.let { scenario.simulation.crash(it, 3.seconds) }
        scenario.simulation.run(scenario.clock.now + 40.seconds)
        assertEquals(409, scenario.sendRequest("GET", "${DrainPaths.DRAINS}/d1").first)
        assertEquals(
            409,
            scenario.sendRequest("POST", DrainPaths.DRAINS, body(ordinaryMachinesRequest)).first,
        )
        assertTrue(
            "\"unreadable\":[\"d1\"]" in scenario.sendRequest("GET", DrainPaths.DRAINS).second,
            "expected the list of drains to name d1 as unreadable",
        )
        assertEquals(unreadableRecord, scenario.simulation.store.value(DrainRecord.key("d1")))
    }

    @Test
    fun `a repeated start request has no effect, even after the drain is done`() {
        val scenario = DrainScenario(10).startJobs().startDrain()
        assertEquals(
            200,
            scenario.sendRequest("POST", DrainPaths.DRAINS, body(ordinaryMachinesRequest)).first,
        )
        scenario.runUntilDone()
        assertEquals(
            200,
            scenario.sendRequest("POST", DrainPaths.DRAINS, body(ordinaryMachinesRequest)).first,
        )
        assertEquals(DrainState.DONE, scenario.state())
        assertEquals(1, scenario.stored()?.let { 1 })
    }

    @Test
    fun `drains that select the same machines share the budgets and return each machine once`() {
        val scenario = DrainScenario(12)
        scenario.startJobs(scenario.service(0, 6), scenario.service(1, 4)).startDrain()
        val zonesRequest =
            DrainRequest("d2", DrainSelector(zones = listOf("a", "b", "c"), spot = false))
        assertEquals(201, scenario.sendRequest("POST", DrainPaths.DRAINS, body(zonesRequest)).first)
        scenario.runUntilDone(id = "d1")
        scenario.runUntilDone(id = "d2")
        scenario.assertDrained()
        val returned =
            (scenario.stored("d1")?.returned ?: 0) + (scenario.stored("d2")?.returned ?: 0)
        assertEquals(
            scenario.drainedMachines.size,
            returned,
            "machines returned by both drains; expected each machine once",
        )
    }

    @Test
    fun `a gang is evicted as a whole within the budget, or not at all`() {
        val maxDisrupted = 3
        val budget = BudgetSettings(maxDisrupted = maxDisrupted, stepPauseS = 1.0)
        val scenario = DrainScenario(14, DrainSettings(budget = budget))
        val small = scenario.array(0, 3, 400.0, cpus = 4.0).copy(kind = JobKind.GANG, spot = false)
        val large = scenario.array(1, 4, 400.0, cpus = 4.0).copy(kind = JobKind.GANG, spot = false)
        scenario.simulation.gangs.runTimes[small.id] = 300.seconds
        scenario.simulation.gangs.runTimes[large.id] = 300.seconds
        scenario.startJobs(small, large).startDrain(ordinaryMachinesRequest.copy(graceS = 0.0))
        scenario.runUntilDone(1500.seconds)
        scenario.assertDrained()
        assertTrue(
            scenario.disruptions.stops.any { it.team == "team-0" },
            "expected the small gang, which fits the budget, to be evicted",
        )
        assertTrue(
            scenario.disruptions.stops.none { it.team == "team-1" },
            "expected the large gang, which exceeds the budget, not to be evicted",
        )
    }

    @Test
    fun `machines that can be replaced are drained first if a zone has no spare capacity`() {
        val scenario = DrainScenario(16, capacity = 1)
        val zoneBound = scenario.service(0, 1, cpus = 12.0).copy(zone = "b")
        scenario
            .startJobs(zoneBound, scenario.service(1, 2, cpus = 4.0))
            .startDrain(ordinaryMachinesRequest.copy(stepSize = 1))
        scenario.runUntil(600.seconds, "a returned machine") {
            (scenario.stored()?.returned ?: 0) > 0
        }
        assertTrue(
            scenario.allReplicasRun(zoneBound),
            "expected the replica bound to zone b to run; its zone has no spare capacity",
        )
        scenario.assertBudgetsKept()
    }

    @Test
    fun `a dry run returns steps, budgets and the first obstacle, and starts no drain`() {
        val scenario = DrainScenario(18)
        scenario.startJobs(scenario.service(0, 4)).sendRequest("GET", DrainPaths.DRAINS)
        val (status, text) =
            scenario.sendRequest(
                "POST",
                "${DrainPaths.DRAINS}/${DrainPaths.CHECK}",
                body(ordinaryMachinesRequest),
            )
        assertEquals(200, status, text)
        val check = operatorJson.decodeFromString(DrainCheck.serializer(), text)
        assertEquals(check.machines, check.steps.sumOf { it.size })
        assertEquals(listOf("team-0"), check.budgets.map { it.team })
        assertEquals(4, check.tasksToMove)
        assertNull(scenario.stored())

        val zeroBudget = DrainSettings(budget = BudgetSettings(maxDisrupted = 0))
        val zeroBudgetScenario = DrainScenario(18, zeroBudget)
        zeroBudgetScenario.startJobs(zeroBudgetScenario.service(0, 4))
        val obstacle =
            zeroBudgetScenario
                .sendRequest(
                    "POST",
                    "${DrainPaths.DRAINS}/${DrainPaths.CHECK}",
                    body(ordinaryMachinesRequest),
                )
                .second
        assertTrue(
            "its budget is 0" in obstacle,
            "expected a budget of 0 as the obstacle: $obstacle",
        )
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
    fun `the response to an invalid request names the field`(field: String, value: String) {
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
        val jsonValue = if (isNumber) value else "\"$value\""
        val extraField =
            if ('.' in field || field in listOf("id", "select")) "" else ""","$field":$jsonValue"""
        val request = """{"id":"$id","select":$select$extraField}"""
        val (status, text) = SCENARIO_WITHOUT_DRAINS.sendRequest("POST", DrainPaths.DRAINS, request)
        assertEquals(400, status, text)
        val fieldName = field.substringAfterLast('.')
        assertTrue(fieldName in text, "expected an error that names $fieldName, got $text")
        assertTrue(DrainText.error(text).lines().size == 1, "expected one line for $text")
    }

    @Test
    fun `an empty selection, an unknown drain and an unknown path are refused`() {
        val emptySelectionRequest =
            DrainRequest("d9", DrainSelector(olderThan = "1970-01-01T00:00:00Z"))
        assertEquals(
            400,
            SCENARIO_WITHOUT_DRAINS.sendRequest(
                    "POST",
                    DrainPaths.DRAINS,
                    body(emptySelectionRequest),
                )
                .first,
        )
        assertEquals(
            404,
            SCENARIO_WITHOUT_DRAINS.sendRequest("GET", "${DrainPaths.DRAINS}/d7").first,
        )
        assertEquals(
            404,
            SCENARIO_WITHOUT_DRAINS.sendRequest("POST", "${DrainPaths.DRAINS}/d7/cancel").first,
        )
        assertEquals(404, SCENARIO_WITHOUT_DRAINS.sendRequest("GET", "/nowhere").first)
        assertEquals(
            405,
            SCENARIO_WITHOUT_DRAINS.sendRequest("DELETE", "${DrainPaths.DRAINS}/d7").first,
        )
    }

    @Test
    fun `during a failover, reads are answered from the store and changes are refused`() {
        val scenario = DrainScenario(20).startJobs().startDrain()
        scenario.runUntilStep(StepPhase.EMPTYING)
        val leader = checkNotNull(scenario.simulation.leader())
        val follower = scenario.simulation.nodes.first { it != leader }
        assertEquals(Source.LEADER, scenario.status(by = follower).source)
        scenario.simulation.crash(leader, 10.seconds)
        var pauseStatus: Int? = null
        scenario.simulation.sendOperatorRequest(
            "POST",
            "${DrainPaths.DRAINS}/d1/pause",
            controller = follower,
        ) { responseStatus, _ ->
            pauseStatus = responseStatus
        }
        val status = scenario.status(by = follower)
        assertEquals(Source.STORE, status.source)
        assertEquals(scenario.stored()?.startedAt, status.record.startedAt)
        assertEquals(503, pauseStatus)
        scenario.runUntilDone()
        scenario.assertDrained()
    }

    /**
     * Guards against an operator who is told that nothing was done although the leader carried the
     * request out, or may still do so: the request reached it and the response did not come back.
     */
    @Test
    fun `a forwarded request without an answer is answered with an unknown outcome`() {
        val scenario = DrainScenario(24).startJobs()
        val simulation = scenario.simulation
        val leader = checkNotNull(simulation.leader())
        val follower = simulation.nodes.first { it != leader }
        val body =
            operatorJson.encodeToString(
                DrainRequest.serializer(),
                DrainRequest("d1", scenario.ordinary(), graceS = 10.0),
            )
        simulation.network.blockPath(leader, follower)
        var response: Pair<Int?, String>? = null
        simulation.sendOperatorRequest("POST", DrainPaths.DRAINS, body, follower) { status, text ->
            response = status to text
        }
        simulation.run(scenario.clock.now + 4.seconds)
        simulation.network.unblockPath(leader, follower)
        assertEquals(503, response?.first, "status of the response")
        val error = operatorJson.decodeFromString(DrainError.serializer(), response!!.second)
        assertEquals(true, error.outcomeUnknown, "whether the outcome is unknown")
        assertNotNull(scenario.stored(), "the drain that the leader started")
    }

    @Test
    fun `with drains switched off, controllers neither read nor write drains`() {
        val enabledRequests = storeRequests(OperatorSettings(drain = DrainSettings()))
        val disabledRequests = storeRequests(OperatorSettings())
        assertTrue(
            enabledRequests.any { DrainRecord.PREFIX in it.substringAfter("under=", "") },
            "expected a listing of drains when drains are switched on",
        )
        assertTrue(
            disabledRequests.none { it.contains("under=${DrainRecord.PREFIX}") },
            "expected no listing of drains when drains are switched off",
        )
        assertTrue(
            disabledRequests.none { "\"put\":\"${DrainRecord.PREFIX}" in it },
            "expected no write of a drain when drains are switched off",
        )
        assertTrue(
            disabledRequests.none { DrainPaths.FORWARDED in it },
            "expected no forwarded request of an operator when drains are switched off",
        )
    }

    /** The requests of all controllers to the key-value store in a scenario of 60 s. */
    private fun storeRequests(operators: OperatorSettings): List<String> {
        val simulation = ClusterSimulation(1, operators = operators)
        val requests = ArrayList<String>()
        simulation.store.onRequest = { path, body -> requests.add("$path $body") }
        repeat(5) { simulation.submit(simulation.randomJob()) }
        simulation.run(60.seconds)
        return requests
    }

    private companion object {
        /** A running cluster without drains, shared by the tests of invalid requests. */
        val SCENARIO_WITHOUT_DRAINS =
            DrainScenario(22).startJobs().also { it.simulation.run(Micros(it.clock.now.value + 1)) }
    }
}
