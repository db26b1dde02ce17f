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

/** The fake workers do with gangs what the page says, for worlds that rely on it. */
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
        // Each has its leader's token.
        clock.run(4.seconds) {}
    }

    private fun sendCommand(worker: Int, command: String) {
        assertEquals(
            200,
            workers[worker].executeDirect("""{"baton":1,"shift":1,"orders":[$command]}""")?.first,
        )
    }

    private fun start(worker: Int, task: Int = worker, attempt: Int = 1) =
        sendCommand(worker, """{"verb":"start","piece":"$job/$task","try":$attempt}""")

    private fun halt(worker: Int, graceS: Double, attempt: Int = 1) =
        sendCommand(
            worker,
            """{"verb":"halt","piece":"$job/$worker","try":$attempt,"letgo_s":$graceS}""",
        )

    /** Status, cause and whether it was kept of the last task on the machine. */
    private fun taskStateOn(worker: Int): String {
        val report = Json.parseToJsonElement(workers[worker].heartbeatBody()).jsonObject
        val task = report.getValue("pieces").jsonArray.last().jsonObject
        return listOf("status", "cause", "kept")
            .mapNotNull { task[it]?.jsonPrimitive?.content }
            .joinToString(" ")
    }

    private fun taskStatesOn(vararg numbers: Int) = numbers.map(::taskStateOn)

    private fun runFor(durationS: Double) = clock.run(clock.now + durationS.seconds) {}

    private fun startGang(attempt: Int = 1) {
        for (worker in 0..2) start(worker, attempt = attempt)
        runFor(3.2)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
    }

    @Test
    fun `a task gathers until the last has its image, and is on its machine meanwhile`() {
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
    fun `tasks of two attempts make no gang, and each is left alone`() {
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
    fun `the rest wait on for one that is gone, and its replacement completes the gang`() {
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
    fun `one that gathers exits at once when it is stopped`() {
        start(0)
        start(1)
        runFor(5.0)
        halt(0, 10.0)
        assertEquals(listOf("ended stopped", "gathering"), taskStatesOn(0, 1))
    }

    @Test
    fun `a running gang notices that one is gone, and falls back to its last checkpoint`() {
        startGang()
        runFor(47.0)
        workers[1].crash()
        assertEquals(List(2) { "running" }, taskStatesOn(0, 2))
        runFor(6.0)
        assertEquals(List(2) { "ended peers" }, taskStatesOn(0, 2))
        assertEquals(40.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `one that hangs is taken for gone, and exits when it goes on`() {
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
    fun `a short hang only holds all of them up`() {
        startGang()
        workers[1].unresponsive = true
        runFor(4.0)
        workers[1].unresponsive = false
        runFor(10.0)
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
    }

    @Test
    fun `a gang that is told in time saves as one`() {
        startGang()
        runFor(30.0)
        halt(0, 2.0)
        runFor(5.5)
        // It has saved, and waits for the others; to the outside it still runs.
        assertEquals(List(3) { "running" }, taskStatesOn(0, 1, 2))
        halt(1, 2.0)
        halt(2, 10.0)
        runFor(0.2)
        assertEquals(listOf("ended stopped true", "running", "running"), taskStatesOn(0, 1, 2))
        // Safe from now, whatever becomes of the others.
        val savedProgress = gangs.savedProgressOf(job)
        assertTrue(savedProgress > 29.seconds && savedProgress < 33.seconds, "$savedProgress")
        workers[2].crash()
        runFor(2.0)
        assertEquals(listOf("ended stopped true", "ended stopped true"), taskStatesOn(0, 1))
        assertEquals(savedProgress, gangs.savedProgressOf(job))
    }

    @Test
    fun `those that are not told in time lose the save`() {
        startGang()
        runFor(30.0)
        halt(0, 2.0)
        halt(1, 2.0)
        runFor(6.1)
        assertEquals(listOf("ended stopped", "ended stopped", "ended peers"), taskStatesOn(0, 1, 2))
        assertEquals(20.seconds, gangs.savedProgressOf(job))
    }

    @Test
    fun `so does one that is gone before the first exits, or stopped with too little grace`() {
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
    fun `too little grace for one loses the save of all`() {
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
    fun `the next attempt goes on from what was saved, and all complete together`() {
        currentSpec = spec.copy(estimateS = 60.0)
        startGang()
        var attempt = 1
        while (taskStateOn(0) == "running") {
            assertTrue(attempt < 30, "no progress is kept")
            for (worker in 0..2) halt(worker, 2.0, attempt)
            runFor(2.2)
            if (!taskStateOn(0).startsWith("ended stopped true")) break
            attempt++
            for (worker in 0..2) start(worker, attempt = attempt)
            runFor(9.0)
        }
        assertEquals(List(3) { "ended done" }, taskStatesOn(0, 1, 2))
        assertTrue(attempt > 2, "in $attempt attempts")
        assertEquals(3, invariants.completedTaskCount(job))
        // The result is kept.
        start(3, task = 1, attempt = 99)
        runFor(3.2)
        assertEquals("ended done", taskStateOn(3))
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `one that fails takes the others with it`() {
        workers[2].failsEveryTask = true
        startGang()
        runFor(8.0)
        assertEquals(listOf("ended peers", "ended peers", "ended error"), taskStatesOn(0, 1, 2))
    }
}
