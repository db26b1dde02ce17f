package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
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
 * Commands in the response to a heartbeat. A duplicate of a direct start that is delivered late
 * starts an attempt again if the machine has forgotten that it ended. The attempt then runs in
 * parallel with the task's next attempt, so a stopped attempt must be remembered long enough.
 */
class HeartbeatCommandsTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `a stopped attempt is not forgotten while a duplicate of its start may be delivered`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        val stopped = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
        val secondAttempt = """{"piece":"job-000001/0","try":2,"status":"running"}"""
        val responses =
            List(170) {
                harness.run(1.seconds)
                machine.heartbeatResponse(token, "$stopped,$secondAttempt")
            }
        assertTrue(
            responses.take(150).none { "forget" in it },
            "expected no forget command in the first 150 responses, one a second: $responses",
        )
        assertContains(
            responses.drop(150).joinToString(),
            "forget",
            message = "expected a forget command after 150 responses, one a second",
        )
    }

    /** Guards against attempts that are forgotten early because a machine lists many of them. */
    @ParameterizedTest
    @ValueSource(strings = ["stopped", "error", "full"])
    fun `no attempt is forgotten earlier because the machine lists many`(cause: String) {
        // A running task keeps the machine in use.
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        val ended = endedAttempts(80, cause)
        val responses =
            List(170) {
                harness.run(1.seconds)
                machine.heartbeatResponse(token, "$running,$ended")
            }
        assertEquals(
            emptyList(),
            responses.take(150).filter { "forget" in it },
            "responses of the first 150 s with forget commands",
        )
        assertEquals(
            80,
            Regex("forget").findAll(responses.last()).count(),
            "forget commands after the retention",
        )
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

    /** The JSON of [count] attempts of one job that ended for [cause]. */
    private fun endedAttempts(count: Int, cause: String) =
        (0 until count).joinToString {
            """{"piece":"job-000009/$it","try":1,"status":"ended","cause":"$cause"}"""
        }
}
