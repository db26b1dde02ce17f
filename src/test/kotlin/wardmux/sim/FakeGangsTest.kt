package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.seconds

/**
 * Tests that [FakeGangs] simulates gangs as PROTOCOL describes them: tasks gather, run and end
 * together, and save their progress together or fall back to the last checkpoint. Simulations of
 * gangs rely on it: a fake that behaved differently from real workers would hide faults of the
 * controllers.
 */
class FakeGangsTest {
    private val clock = SimulatedClock(7)
    private val invariants = Invariants(listOf(TeamQuota("team-0", 100.0, 100.0)), 36.seconds)
    private val gangs = FakeGangs(clock, invariants)
    private val job = "job-000001"
    private val spec =
        plainJob(3, job)
            .copy(kind = JobKind.GANG, estimateS = 10_000.0, checkpointS = 20.0, saveS = 2.0)
    private var currentSpec: JobSpec = spec
    private val timing = WorkerTiming(heartbeatPeriodS = 2.5, leaseS = 16.0, cancelS = 36.0)
    private val workers =
        List(4) {
            FakeWorker(
                "m$it",
                "mid",
                "a",
                false,
                clock,
                timing,
                listOf("n0"),
                invariants,
                { currentSpec },
                gangs,
            ) { _, _, respond ->
                respond(200, """{"baton":1,"orders":[]}""")
            }
        }

    init {
        invariants.recordSubmission(spec)
        // After 4 s each worker has the token of the leader from a heartbeat response.
        clock.run(4.seconds) {}
    }

    /** Sends the command directly to the worker, which must accept it. */
    private fun sendCommand(worker: Int, command: String) {
        assertEquals(
            200,
            workers[worker].executeDirect("""{"baton":1,"shift":1,"orders":[$command]}""")?.first,
        )
    }

    private fun start(worker: Int, task: Int = worker, attempt: Int = 1) =
        sendCommand(worker, """{"verb":"start","piece":"$job/$task","try":$attempt}""")

    /** Halts the task whose number is that of its worker, and gives it [graceS] seconds. */
    private fun halt(worker: Int, graceS: Double, attempt: Int = 1) =
        sendCommand(
            worker,
            """{"verb":"halt","piece":"$job/$worker","try":$attempt,"letgo_s":$graceS}""",
        )

    /**
     * The status of the last task in the heartbeat of the worker, then, if they are present, the
     * cause of its end and whether its progress was saved: "ended stopped true", for example.
     */
    private fun taskStateOn(worker: Int): String {
        val report = Json.parseToJsonElement(workers[worker].heartbeatBody()).jsonObject
        val task = report.getValue("pieces").jsonArray.last().jsonObject
        return listOf("status", "cause", "kept")
            .mapNotNull { task[it]?.jsonPrimitive?.content }
            .joinToString(" ")
    }

    private fun taskStatesOn(vararg numbers: Int) = numbers.map(::taskStateOn)

    private fun runFor(durationS: Double) = clock.run(clock.now + durationS.seconds) {}

    /** Starts tasks 0 to 2 on the workers with the same numbers and runs until they are running. */
    private fun startGang(attempt: Int = 1) {
        for (worker in 0..2) start(worker, attempt = attempt)
        runFor(3.2)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
    }

    @Test
    fun `a task gathers, and is on its machine, until the last task has its image`() {
        start(0)
        start(1)
        runFor(10.0)
        assertEquals(List(2) { "gathering" }, taskStatesOn(0, 1))
        assertEquals(mapOf(0 to "m0", 1 to "m1"), invariants.machineByTask(job))
        assertEquals(0, invariants.gangStarts)
        start(2)
        runFor(3.2)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
        assertEquals(1, invariants.gangStarts)
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `tasks of two attempts do not form a gang, and each ends after the gather timeout`() {
        start(0)
        start(1)
        start(2, attempt = 2)
        runFor(34.0)
        assertEquals(List(3) { "gathering" }, taskStatesOn(0, 1, 2))
        runFor(5.0)
        assertEquals(List(3) { "ended alone" }, taskStatesOn(0, 1, 2))
        assertEquals(emptyMap(), invariants.machineByTask(job))
        assertEquals(0, invariants.gangStarts)
    }

    @Test
    fun `gathering tasks keep waiting for a lost one, and its replacement completes the gang`() {
        start(0)
        start(1)
        runFor(5.0)
        workers[1].crash()
        runFor(10.0)
        start(2)
        runFor(5.0)
        assertEquals(List(2) { "gathering" }, taskStatesOn(0, 2))
        start(3, task = 1)
        runFor(3.2)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 2, 3))
    }

    @Test
    fun `a gathering task that is halted exits at once`() {
        start(0)
        start(1)
        runFor(5.0)
        halt(0, 10.0)
        assertEquals(listOf("ended stopped", "gathering"), taskStatesOn(0, 1))
    }

    @Test
    fun `a running gang that loses a task ends and falls back to its last checkpoint`() {
        startGang()
        runFor(47.0)
        workers[1].crash()
        assertEquals(List(2) { "running" }, taskStatesOn(0, 2))
        runFor(6.0)
        assertEquals(List(2) { "ended peers" }, taskStatesOn(0, 2))
        assertEquals(40.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `an unresponsive task is treated as lost, and exits once it resumes`() {
        startGang()
        workers[1].unresponsive = true
        runFor(5.0)
        assertEquals(List(2) { "running" }, taskStatesOn(0, 2))
        runFor(1.3)
        assertEquals(List(2) { "ended peers" }, taskStatesOn(0, 2))
        assertEquals("running", taskStateOn(1))
        workers[1].unresponsive = false
        runFor(0.2)
        assertEquals("ended peers", taskStateOn(1))
    }

    @Test
    fun `a gang survives a task that is unresponsive for less than the peer timeout`() {
        startGang()
        workers[1].unresponsive = true
        runFor(4.0)
        workers[1].unresponsive = false
        runFor(10.0)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
    }

    @Test
    fun `a gang whose tasks are all halted in time saves its progress together`() {
        startGang()
        runFor(30.0)
        halt(0, 2.0)
        runFor(5.5)
        // The halted task waits for the others to be halted. It still reports that it runs.
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
        halt(1, 2.0)
        halt(2, 10.0)
        runFor(0.2)
        assertEquals(listOf("ended stopped true", "running", "running"), taskStatesOn(0, 1, 2))
        // The progress is saved from now on, even if the other tasks are lost.
        val savedProgress = gangs.savedProgressOf(job)
        assertTrue(
            savedProgress > 29.seconds && savedProgress < 33.seconds,
            "expected about 30 s of saved progress, got $savedProgress",
        )
        workers[2].crash()
        runFor(2.0)
        assertEquals(listOf("ended stopped true", "ended stopped true"), taskStatesOn(0, 1))
        assertEquals(savedProgress, gangs.savedProgressOf(job))
    }

    @Test
    fun `the progress is not saved if one task is not halted within the peer timeout`() {
        startGang()
        runFor(30.0)
        halt(0, 2.0)
        halt(1, 2.0)
        runFor(6.1)
        assertEquals(listOf("ended stopped", "ended stopped", "ended peers"), taskStatesOn(0, 1, 2))
        assertEquals(20.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `the progress is not saved if a halted task is lost before the first one has saved`() {
        startGang()
        runFor(30.0)
        for (worker in 0..2) halt(worker, 2.0)
        runFor(1.0)
        workers[2].crash()
        runFor(6.0)
        assertEquals(List(2) { "ended peers" }, taskStatesOn(0, 1))
        assertEquals(20.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `the progress is not saved if one task gets less grace than a save takes`() {
        startGang()
        runFor(30.0)
        halt(0, 2.0)
        halt(1, 1.9)
        assertEquals("ended stopped", taskStateOn(1))
        runFor(6.0)
        assertEquals(listOf("ended peers", "ended peers"), taskStatesOn(0, 2))
        assertEquals(20.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `the next attempt continues from the saved progress, and all tasks complete together`() {
        currentSpec = spec.copy(estimateS = 60.0)
        startGang()
        var attempt = 1
        while (taskStateOn(0) == "running") {
            assertTrue(
                attempt < 30,
                "expected the gang to be done before attempt 30, since its progress is saved",
            )
            for (worker in 0..2) halt(worker, 2.0, attempt)
            runFor(2.2)
            if (!taskStateOn(0).startsWith("ended stopped true")) break
            attempt++
            for (worker in 0..2) start(worker, attempt = attempt)
            runFor(9.0)
        }
        assertEquals(List(3) { "ended done" }, taskStatesOn(0, 1, 2))
        assertTrue(attempt > 2, "expected more than two attempts, got $attempt")
        assertEquals(3, invariants.completedTaskCount(job))
        // A task that is started after its gang completed completes at once.
        start(3, task = 1, attempt = 99)
        runFor(3.2)
        assertEquals("ended done", taskStateOn(3))
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `a task that fails ends the others of its gang`() {
        workers[2].failsEveryTask = true
        startGang()
        runFor(8.0)
        assertEquals(listOf("ended peers", "ended peers", "ended error"), taskStatesOn(0, 1, 2))
    }
}
