package wardmux.lease

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.FullHeartbeat
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.JobState
import wardmux.model.TaskAttempt
import wardmux.model.seconds
import wardmux.peers.CancellationUpdate
import wardmux.peers.PeerHeartbeatCodec
import wardmux.peers.PeerHeartbeats
import wardmux.records.JobRecord
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.forwardingSettings
import wardmux.sim.plainJob

/**
 * Guards against a leader that renews the lease of a machine on which a task of a cancelled job may
 * run on. In most tests the leader finds the task in the stored state after a failover, so it does
 * not know when the job was cancelled or whether the task is on its machine.
 */
class LeaderRenewalTest {
    private val harness = ControllerHarness(peers = listOf("n1"), forwardingSettings())
    private val machine = ManualWorker(harness, "i-000001")
    private val otherMachine = ManualWorker(harness, "i-000099")
    private val job = plainJob(1)
    private val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private val stopCommand = """{"verb":"halt","piece":"job-000001/0","try":1,"letgo_s":0.0}"""

    /**
     * Starts a leader whose predecessor placed the task of the cancelled job, and returns the token
     * of the new leader. The time when the user was told of the cancellation is not known.
     */
    private fun startAfterFailover(): Long {
        val cancelled = JobRecord(JobState.CANCELLED, 0, job).toJson()
        harness.write(JobRecord.key(job.jobId), cancelled)
        harness.write(JobRecord.cancelledKey(job.jobId), cancelled)
        harness.write(
            "t/job-000001/0",
            Json.parseToJsonElement(
                """{"c":[1],"w":[1.0],"z":["a"],"m":["i-000001"],"n":[1,0,1,0,1,0]}"""
            ),
        )
        setPeerCancellations()
        harness.run(2.seconds)
        return otherMachine.fetchLeaderToken()
    }

    /** Lets the peer report from now on that it acknowledged the cancellations of [jobs]. */
    private fun setPeerCancellations(vararg jobs: String) {
        val update = CancellationUpdate("b", 1_000_000_000, 0, jobs.toList())
        harness.peerResponse = { path, _ ->
            if (path == PeerHeartbeats.PATH) PeerHeartbeatCodec.encode(update) else null
        }
    }

    /** Sends a forwarder's batch with [heartbeats] to the leader and returns its response. */
    private fun sendBatch(token: Long, vararg heartbeats: FullHeartbeat): HeartbeatBatchResponse {
        val batch = HeartbeatBatch("n1", "b", 1, token, 0, 0, heartbeats.toList())
        harness.call("POST", ForwardingCodec.PATH, ForwardingCodec.encode(batch), ListenerKind.PEER)
        return assertNotNull(
            ForwardingCodec.decodeResponse(harness.responseBodyOf(harness.lastRequestId))
        )
    }

    /** A heartbeat of the machine i-000001 that lists [tasks], given as JSON. */
    private fun fullHeartbeat(token: Long, tick: Int, tasks: String): FullHeartbeat {
        val body =
            """{"box":"i-000001","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","loaners":""" +
                """false,"shift":1,"tick":$tick,"baton":$token,"pieces":[$tasks]}"""
        return FullHeartbeat(tick.toLong(), body.encodeToByteArray())
    }

    private fun tasksToStop(answer: HeartbeatBatchResponse) =
        assertNotNull(answer.mustHalt).map { it.machine to it.tasks }

    private val cancelledTask = "i-000001" to listOf(TaskAttempt("job-000001/0", 1))

    @Test
    fun `the first response to a machine renews its lease with the stop`() {
        val token = startAfterFailover()
        val answer = machine.heartbeatResponse(token - 1, runningTask)
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, stopCommand)
    }

    @Test
    fun `the response to a heartbeat that arrives late or twice carries the stop`() {
        val token = startAfterFailover()
        machine.sendHeartbeat(token - 1, runningTask, heartbeatTick = 9)
        val answer = machine.sendHeartbeat(token - 1, runningTask, heartbeatTick = 8)
        assertContains(assertNotNull(answer).second, stopCommand)
    }

    @Test
    fun `a machine that does not list the task is not renewed before its absence is verified`() {
        val token = startAfterFailover()
        harness.directCommands.clear()
        assertContains(machine.heartbeatResponse(token - 1), "\"baton\":0")
        // A start sent by an earlier leader may still be in flight. The stop makes it ineffective.
        harness.run(0.5.seconds)
        assertEquals(
            1,
            harness.directCommands.count { stopCommand in it && "\"baton\":$token" in it },
        )
        assertContains(machine.heartbeatResponse(token), "\"baton\":$token")
    }

    @Test
    fun `the stop is sent again with each heartbeat until the absence is verified`() {
        val token = startAfterFailover()
        harness.directCommandOutcome = Outcome.NoResponse
        repeat(4) {
            assertContains(machine.heartbeatResponse(token - 1), "\"baton\":0")
            harness.run(1.5.seconds)
        }
        assertTrue(
            harness.directCommands.count { stopCommand in it } >= 3,
            "expected at least 3 stops: ${harness.directCommands}",
        )
    }

    @Test
    fun `an unanswered start of a task that is then cancelled lets the lease expire in time`() {
        setPeerCancellations()
        harness.writeAcceptedJob(job)
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.directCommandOutcome = Outcome.NoResponse
        harness.run(1.seconds)
        assertEquals(1, harness.directCommands.count { "\"start\"" in it })
        setPeerCancellations(job.id)
        harness.run(1.1.seconds)
        // The leader stops renewing 36 s after the cancellation, less the lease of 16 s, the
        // forwarder's grant of 5.3 s and a margin.
        val renewed =
            List(20) {
                harness.run(1.seconds)
                "\"baton\":$token" in machine.sendHeartbeat(token)?.second.orEmpty()
            }
        assertTrue(renewed.take(4).all { it }, "expected renewals in the first 4 s, saw $renewed")
        assertFalse(renewed.drop(14).any { it }, "expected no renewals after 14 s, saw $renewed")
    }

    @Test
    fun `forwarders receive the cancelled job, and the task until its absence is verified`() {
        val token = startAfterFailover()
        assertEquals(listOf(cancelledTask), tasksToStop(sendBatch(token)))
        assertEquals(listOf(job.id), sendBatch(token).cancelledJobs)
        val listed = sendBatch(token, fullHeartbeat(token, 5, runningTask))
        assertEquals(listOf(cancelledTask), tasksToStop(listed))
        assertEquals("halt", listed.undelivered.single().commands.single().typeName)
        sendBatch(token, fullHeartbeat(token, 6, ""))
        assertEquals(emptyList(), tasksToStop(sendBatch(token)))
        assertTrue(sendBatch(token).renewalAllowed)
    }

    @Test
    fun `a forwarder of an earlier version has to reject a machine that does not list the task`() {
        val token = startAfterFailover()
        assertEquals(
            listOf("i-000001"),
            sendBatch(token, fullHeartbeat(token - 1, 5, "")).rejectedMachines,
        )
        assertEquals(
            emptyList(),
            sendBatch(token, fullHeartbeat(token - 1, 6, runningTask)).rejectedMachines,
        )
    }

    @Test
    fun `a cancellation reported by a peer counts from when the leader last knew all of them`() {
        setPeerCancellations()
        harness.writeAcceptedJob(job)
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        machine.heartbeatResponse(token, runningTask)
        setPeerCancellations(job.id)
        harness.run(1.1.seconds)
        assertEquals(
            emptyList(),
            tasksToStop(sendBatch(token)),
            "expected no task to be urgent yet",
        )
        harness.run(12.seconds)
        assertEquals(listOf(cancelledTask), tasksToStop(sendBatch(token)))
    }

    @Test
    fun `a response that omits the tasks to stop because of its size allows no renewals`() {
        val token = startAfterFailover()
        val answer = sendBatch(token)
        assertTrue(answer.renewalAllowed)
        assertFalse(answer.withoutCommands().renewalAllowed)
        assertEquals(emptyList(), answer.withoutCommands().mustHalt)
        sendBatch(token, fullHeartbeat(token, 6, ""))
        assertTrue(
            sendBatch(token).withoutCommands().renewalAllowed,
            "expected renewals, because there is no task to stop",
        )
    }
}
