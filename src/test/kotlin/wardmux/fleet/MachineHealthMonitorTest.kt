package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.core.Outcome
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/** What heartbeats and unanswered commands tell of a machine, and what they do not. */
class MachineHealthMonitorTest {
    private val harness = ControllerHarness()
    private val first = ManualWorker(harness, "i-000001")
    private val second = ManualWorker(harness, "i-000002")

    private fun deletionRequestCount(machine: String) =
        harness.cloud.count { it.startsWith("/machines/delete") && machine in it }

    private fun directStartCount(task: String) =
        harness.direct.count { "\"start\"" in it && task in it }

    /** The start of a job's only task is sent to the first machine and goes unanswered. */
    private fun sendUnansweredStart(): Long {
        harness.run(2.seconds)
        val token = first.token()
        first.handleHeartbeat(token)
        harness.directOutcome = Outcome.NoResponse
        harness.accept(plainJob(1))
        harness.run(2.seconds)
        assertEquals(1, directStartCount("job-000001/0"))
        return token
    }

    private fun sendHeartbeatsOfBoth(token: Long) =
        repeat(20) {
            first.report(token)
            second.report(token)
            harness.run(1.seconds)
        }

    @Test
    fun `a machine that commands do not reach gets no more, and only its deletion frees the task`() {
        val token = sendUnansweredStart()
        // Its heartbeats go on, and none lists the task.
        repeat(3) {
            first.handleHeartbeat(token)
            second.handleHeartbeat(token)
            harness.run(1.seconds)
        }
        harness.accept(plainJob(1, "job-000002"))
        sendHeartbeatsOfBoth(token)
        assertTrue(deletionRequestCount("i-000001") > 0, "kept, though commands do not reach it")
        assertEquals(
            0,
            directStartCount(""""job-000001/0","try":2"""),
            "started while it may still start",
        )
        assertEquals(1, directStartCount("job-000002/0"))
    }

    @Test
    fun `nor is it kept for ever if the stored state is loaded again meanwhile`() {
        val token = sendUnansweredStart()
        // Somebody else's write: the leader no longer knows what is stored.
        harness.write("tags", harness.stored("tags")!!)
        harness.accept(plainJob(1, "job-000002"))
        sendHeartbeatsOfBoth(token)
        assertTrue(deletionRequestCount("i-000001") > 0, "kept, though commands do not reach it")
    }

    @Test
    fun `a copy of an old heartbeat is no sign of life and brings no machine back`() {
        harness.run(2.seconds)
        harness.accept(plainJob(1))
        // Under an older token, over and over: all that a leader knows of a machine long gone.
        repeat(40) {
            first.report(0, at = 7)
            harness.run(1.seconds)
        }
        assertEquals(0, directStartCount("job-000001/0"))
        assertTrue(deletionRequestCount("i-000001") > 0, "kept for the copies' sake")
    }

    @Test
    fun `copies do not keep a silent machine alive`() {
        harness.run(2.seconds)
        val token = first.token()
        first.handleHeartbeat(token)
        repeat(14) {
            harness.run(1.seconds)
            first.report(token, at = 1)
        }
        assertTrue(deletionRequestCount("i-000001") > 0, "a copy counted as a sign of life")
    }

    @Test
    fun `an overdue machine that answers no probe is decommissioned before others`() {
        harness.run(2.seconds)
        val token = first.token()
        repeat(2) {
            first.handleHeartbeat(token)
            harness.run(0.5.seconds)
        }
        // A heartbeat each 2.5 s: probed after 3.75 s, decommissioned after 8 s, unprobed after 10
        // s.
        harness.run(7.seconds)
        assertEquals(0, deletionRequestCount("i-000001"))
        harness.run(2.seconds)
        assertTrue(deletionRequestCount("i-000001") > 0, "still kept")
    }

    /**
     * A leader that may not renew leases still gets heartbeats of its workers, whose incarnations
     * end and begin. If the lease of a new one counted from the last renewal before, it would be
     * over at once, and the task would be started a second time elsewhere.
     */
    @Test
    fun `an incarnation that began without a renewal has a lease from its beginning`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        val first = ManualWorker(harness, "i-000001")
        val second = ManualWorker(harness, "i-000002")
        harness.run(2.seconds)
        val token = first.token()
        first.handleHeartbeat(token)
        harness.outage()
        repeat(40) {
            harness.run(1.seconds)
            first.report(token)
        }
        first.incarnation = 3
        first.report(token)
        second.report(token)
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        val heartbeatOfNewIncarnation =
            """{"box":"i-000001","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","shift":3,""" +
                """"tick":900,"baton":$token,"pieces":[$runningTask]}"""
        harness.directOutcome = Outcome.Response(200, heartbeatOfNewIncarnation.encodeToByteArray())
        harness.outageOver()
        harness.accept(plainJob(1))
        val directStarts = { harness.direct.count { "\"start\"" in it && "job-000001/0" in it } }
        harness.run(3.seconds)
        assertEquals(0, directStarts(), "started where no lease is renewed")
        first.report(token)
        harness.run(3.seconds)
        assertEquals(1, directStarts())
    }
}
