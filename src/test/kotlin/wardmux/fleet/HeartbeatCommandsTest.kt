package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import wardmux.core.Outcome
import wardmux.http.MAX_BODY_BYTES
import wardmux.model.Machine
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerHeartbeat

/**
 * Commands in the response to a heartbeat. A copy of a direct start that is delivered late starts
 * an attempt again if the machine has forgotten that it ended. The attempt then runs in parallel
 * with the task's next attempt or after the job was cancelled, so it must not be forgotten.
 */
class HeartbeatCommandsTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    /** Starts a task that keeps the machine in use. Returns the fencing token of the leader. */
    private fun startFirstTask(): Long {
        harness.directCommandOutcome = Outcome.Response(200, "{}".encodeToByteArray())
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        machine.heartbeatResponse(token, RUNNING)
        return token
    }

    /** Starts [count] tasks of [job] by direct commands that are answered. */
    private fun startDirectly(count: Int, job: String = "job-000001") {
        harness.writeAcceptedJob(plainJob(count, job).copy(cpus = 0.1, memoryGb = 0.1))
        harness.run(1.seconds)
        val starts = harness.directCommands.sumOf { Regex("$job/").findAll(it).count() }
        assertEquals(count, starts, "direct starts of $job")
    }

    private fun cancel(job: String) {
        harness.call("POST", "/submissions/$job/abort")
        harness.run(1.seconds)
    }

    /** Sends a heartbeat with [tasks] each second for 400 s, which is 25 leases. */
    private fun responsesTo(token: Long, tasks: String): List<String> =
        List(400) {
            harness.run(1.seconds)
            machine.heartbeatResponse(token, "$RUNNING,$tasks")
        }

    /**
     * Time alone is no proof that a copy of a start cannot arrive any more, and neither is the
     * answer to the start.
     */
    @ParameterizedTest
    // A machine on which more tasks fail is replaced.
    @CsvSource("stopped,80", "error,2", "full,80", "busy,80", "unknown,80")
    fun `an attempt that was started directly is not forgotten in the same incarnation`(
        cause: String,
        count: Int,
    ) {
        val token = startFirstTask()
        startDirectly(count)
        cancel("job-000001")
        val ended = endedAttempts(count, cause, job = "job-000001")
        val forgetful = responsesTo(token, ended).filter { "forget" in it }
        assertEquals(emptyList(), forgetful, "responses with forget commands")
    }

    /** A late start does not run a completed task again, because the worker keeps the result. */
    @Test
    fun `a completed attempt is forgotten once its completion is recorded`() {
        val token = startFirstTask()
        startDirectly(1)
        val done = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"done"}"""
        val responses = responsesTo(token, done).take(10)
        assertContains(responses.joinToString(), "forget")
    }

    /**
     * The response that lets the worker forget them carries this leader's token, and a worker that
     * has seen it refuses copies of an earlier leader's starts.
     */
    @Test
    fun `attempts that an earlier leader started are forgotten at once`() {
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        val response = machine.heartbeatResponse(token, endedAttempts(80, "stopped"))
        assertEquals(80, Regex("forget").findAll(response).count(), "forget commands")
    }

    /** Guards against a machine that is kept from work for good by what it has to remember. */
    @Test
    fun `an empty machine that has to remember very many attempts is replaced`() {
        val token = startFirstTask()
        val ended = ArrayList<String>()
        for (job in listOf("job-000003", "job-000004", "job-000005")) {
            startDirectly(120, job)
            cancel(job)
            ended.add(endedAttempts(120, "stopped", job))
            machine.heartbeatResponse(token, "$RUNNING,${ended.joinToString(",")}")
        }
        assertEquals(null, harness.storedValue("m/i-000001"), "record of the machine in use")
        cancel("job-000002")
        machine.heartbeatResponse(token, ended.joinToString(","))
        harness.run(2.seconds)
        assertContains(harness.storedValue("m/i-000001").toString(), "ended tasks")
    }

    /**
     * Guards against heartbeats that exceed the size that the protocol allows, so that they are
     * refused and the worker loses its lease with all its tasks.
     */
    @Test
    fun `a machine that lists as many tasks as a heartbeat can hold gets no further ones`() {
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        val full = endedAttempts(Machine.MAX_LISTED_TASKS, "stopped")
        machine.heartbeatResponse(token, full)
        harness.writeAcceptedJob(plainJob(1))
        val responses =
            List(20) {
                harness.run(1.seconds)
                machine.heartbeatResponse(token, full)
            }
        assertEquals(
            emptyList(),
            (responses + harness.directCommands).filter { "start" in it },
            "commands with starts while the heartbeat can list no more",
        )
        harness.run(1.seconds)
        machine.heartbeatResponse(token, endedAttempts(20, "stopped"))
        harness.run(2.seconds)
        assertContains(
            harness.directCommands.joinToString(),
            """{"verb":"start","piece":"job-000001/0","try":1}""",
            message = "expected the start after the machine has forgotten most attempts",
        )
    }

    @Test
    fun `a heartbeat with as many tasks as a machine may list is within the protocol's limit`() {
        val longest = ReportedTask("job-999999/99999", 99_999, "ended", "stopped", kept = true)
        val heartbeat =
            WorkerHeartbeat(
                machine = "i-000231",
                endpoint = "10.100.100.232:65535",
                type = "a-machine-type-with-a-long-name",
                zone = "a-zone-with-a-long-name",
                incarnation = Int.MAX_VALUE.toLong(),
                tick = Int.MAX_VALUE.toLong(),
                token = Int.MAX_VALUE.toLong(),
                preemptedInS = 120.5,
                tasks = List(Machine.MAX_LISTED_TASKS) { longest },
            )
        val body = lenientJson.encodeToString(WorkerHeartbeat.serializer(), heartbeat)
        // Workers may write a space after each comma and colon.
        val separators = body.count { it == ',' || it == ':' }
        assertTrue(
            body.length + separators <= MAX_BODY_BYTES,
            "${body.length + separators} bytes exceed the limit of $MAX_BODY_BYTES",
        )
    }

    /** The JSON of the first attempts of [count] tasks of [job] that ended for [cause]. */
    private fun endedAttempts(count: Int, cause: String, job: String = "job-000009") =
        (0 until count).joinToString(",") {
            """{"piece":"$job/$it","try":1,"status":"ended","cause":"$cause"}"""
        }

    private companion object {
        /** The task that keeps the machine in use. */
        const val RUNNING = """{"piece":"job-000002/0","try":1,"status":"running"}"""
    }
}
