package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.core.Outcome
import wardmux.model.JobKind
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * Direct starts that get no response, on a machine that never becomes empty because a replica of a
 * service runs there. Guards against two failures: the machine is kept from further work for ever,
 * although the worker lists the tasks that were started; and an attempt whose start may still be
 * carried out is forgotten, so that it would run again.
 */
class UnansweredStartTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")
    private var token = 0L

    private fun entry(task: String, status: String, cause: String? = null): String {
        val causeField = if (cause == null) "" else ""","cause":"$cause""""
        return """{"piece":"$task","try":1,"status":"$status"$causeField}"""
    }

    /** The replica of the service that runs on the machine all the time. */
    private val replica = entry("job-000009/0", "running")

    private fun directStartCount(task: String) =
        harness.directCommands.count { """{"verb":"start","piece":"$task"""" in it }

    /** Sends a heartbeat that lists the replica and [tasks]. Returns the response's body. */
    private fun sendHeartbeat(tasks: String = ""): String {
        val separator = if (tasks.isEmpty()) "" else ","
        val response = machine.heartbeatResponse(token, "$replica$separator$tasks")
        harness.run(1.seconds)
        return response
    }

    /** Starts a replica, and then two tasks whose direct start gets no response. */
    private fun sendUnansweredStart() {
        val service = plainJob(1, "job-000009").copy(kind = JobKind.SERVICE, estimateS = 0.0)
        harness.writeAcceptedJob(service)
        harness.run(2.seconds)
        token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        sendHeartbeat()
        harness.directCommandOutcome = Outcome.NoResponse
        harness.writeAcceptedJob(plainJob(2))
        harness.run(1.seconds)
        assertEquals(1, directStartCount("job-000001/0"), "direct starts of job-000001/0")
        harness.directCommandOutcome = Outcome.Response(200, "{}".encodeToByteArray())
    }

    private fun cancelJob() {
        harness.call("POST", "/submissions/job-000001/abort")
        harness.run(1.seconds)
    }

    /** Sends a heartbeat every second for 200 s. */
    private fun listStoppedTasks(): List<String> {
        val stopped = List(2) { entry("job-000001/$it", "ended", "stopped") }.joinToString(",")
        return List(200) { sendHeartbeat(stopped) }
    }

    private fun submitFurtherJob() {
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        harness.run(1.seconds)
    }

    @ParameterizedTest
    @ValueSource(strings = ["fetching", "running", "done", "stopped", "full"])
    fun `a machine that lists all tasks of an unanswered start gets further tasks`(state: String) {
        sendUnansweredStart()
        val isEnded = state !in setOf("fetching", "running")
        val tasks =
            List(2) {
                if (isEnded) entry("job-000001/$it", "ended", cause = state)
                else entry("job-000001/$it", state)
            }
        sendHeartbeat(tasks.joinToString(","))
        submitFurtherJob()
        sendHeartbeat(tasks.joinToString(","))
        assertEquals(1, directStartCount("job-000002/0"), "direct starts of job-000002/0")
    }

    @Test
    fun `a machine that lists only some tasks of an unanswered start gets no further ones`() {
        sendUnansweredStart()
        submitFurtherJob()
        val responses = List(4) { sendHeartbeat(entry("job-000001/0", "running")) }
        assertEquals(0, directStartCount("job-000002/0"), "direct starts of job-000002/0")
        assertEquals(
            emptyList(),
            responses.filter { "job-000002/0" in it },
            "responses with a start of job-000002/0",
        )
    }

    /**
     * The response to a heartbeat repeats the start, so the direct request may still be under way.
     */
    @Test
    fun `an attempt is not forgotten while its unanswered start may be carried out`() {
        sendUnansweredStart()
        assertContains(sendHeartbeat(), "job-000001/0", message = "expected a repeated start")
        cancelJob()
        val responses = listStoppedTasks()
        assertEquals(
            emptyList(),
            responses.filter { "forget" in it },
            "responses with forget commands",
        )
    }

    /**
     * A listed attempt whose start was sent once was started by that request, but a copy of the
     * request may still arrive.
     */
    @Test
    fun `an attempt that the unanswered start proves to have begun is not forgotten either`() {
        sendUnansweredStart()
        cancelJob()
        val responses = listStoppedTasks()
        assertEquals(
            emptyList(),
            responses.filter { "forget" in it },
            "responses with forget commands",
        )
    }

    /**
     * While most machines lack a start, the network is a more likely cause than the machines, so
     * they are kept at first. Without an end of that, their tasks would wait for ever.
     */
    @Test
    fun `machines that never list a start are replaced even if most are affected`() {
        val machines = List(3) { ManualWorker(harness, "i-00000${it + 1}") }
        harness.run(2.seconds)
        token = machines[0].fetchLeaderToken()
        for (machine in machines) machine.heartbeatResponse(token)
        harness.directCommandOutcome = Outcome.NoResponse
        // Eight tasks fill a machine.
        harness.writeAcceptedJob(plainJob(24))
        fun deletionsAfter(seconds: Int): Int {
            repeat(seconds) {
                for (machine in machines) machine.sendHeartbeat(token)
                harness.run(1.seconds)
            }
            return harness.cloudRequests.count { it.startsWith("/machines/delete") }
        }
        assertEquals(0, deletionsAfter(20), "requests to delete machines in the first 20 s")
        assertTrue(harness.cloudRequests.any { "\"hire\"" in it }, "expected rental requests")
        assertTrue(deletionsAfter(25) > 0, "expected deletions after twice a lease")
    }
}
