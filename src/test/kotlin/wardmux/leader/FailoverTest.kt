package wardmux.leader

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import wardmux.model.JobKind
import wardmux.model.JobState
import wardmux.model.seconds
import wardmux.peers.CancellationUpdate
import wardmux.peers.PeerHeartbeatCodec
import wardmux.peers.PeerHeartbeats
import wardmux.records.JobRecord
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * Guards against a new leader that misreads the stored state after a failover. Each test reproduces
 * a fault that has occurred, such as lost cancellations or tasks started twice.
 */
class FailoverTest {
    private val harness = ControllerHarness()

    /** A job of [tasks] tasks, all in one zone if [oneZone] is set. */
    private fun arrayJob(tasks: Int, oneZone: Boolean = false) = plainJob(tasks, oneZone = oneZone)

    /** Stores that the first task of the job is placed on [machine] in [zone]. */
    private fun storePlacement(machine: String, zone: String) =
        harness.write(
            "t/job-000001/0",
            Json.parseToJsonElement(
                """{"c":[1],"w":[1.0],"z":["$zone"],"m":["$machine"],"n":[1,0,1,0,1,0]}"""
            ),
        )

    /** The tick of the next heartbeat, shared by all machines of a test. */
    private var nextTick = 0

    private fun handleHeartbeat(
        machine: String,
        zone: String,
        token: Long,
        tasks: String = "",
    ): String =
        ManualWorker(harness, machine, zone)
            .also { it.tick = nextTick++ }
            .heartbeatResponse(token, tasks)

    /** Sends [times] heartbeats, with time after each for direct commands to be sent. */
    private fun handleHeartbeats(times: Int, machine: String, zone: String, token: Long) =
        repeat(times) {
            handleHeartbeat(machine, zone, token)
            harness.run(0.5.seconds)
        }

    private fun leaderToken(): Long =
        ManualWorker(harness, "i-000099").also { it.tick = nextTick++ }.fetchLeaderToken()

    @Test
    fun `a job cancelled between two loads of the stored state is stopped`() {
        val job = arrayJob(1)
        harness.writeAcceptedJob(job)
        storePlacement("i-000001", "a")
        // The first load fails when it reads the cancelled jobs. By then it has read the job as
        // accepted.
        var refused = false
        harness.refusesStoreRequest = { path ->
            val first = path.startsWith("/keys?under=c/") && !refused
            refused = refused || first
            first
        }
        while (!refused) harness.run(0.1.seconds)
        val cancelled = JobRecord(JobState.CANCELLED, 0, job).toJson()
        harness.write(JobRecord.key(job.jobId), cancelled)
        harness.write(JobRecord.cancelledKey(job.jobId), cancelled)
        harness.remove(JobRecord.openKey(job.jobId))
        harness.run(2.seconds)
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        assertContains(
            handleHeartbeat("i-000001", "a", leaderToken(), runningTask),
            "\"verb\":\"halt\"",
        )
    }

    @Test
    fun `a cancellation that a peer reports while the new leader loads is not lost`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        val gang = plainJob(2).copy(kind = JobKind.GANG)
        harness.writeAcceptedJob(gang)
        val page =
            """{"c":[1],"w":[1.0],"z":["a"],"m":["i-000001","i-000002"],""" +
                """"n":[1,0,1,0,1,0,1,0,1,1,1,0]}"""
        harness.write("t/job-000001/0", Json.parseToJsonElement(page))
        // The new leader has read the job as open and waits for the task pages.
        harness.refusesStoreRequest = { path ->
            if (path.startsWith("/keys?under=t/")) harness.holdStoreResponses = true
            false
        }
        while (!harness.holdStoreResponses) harness.run(0.1.seconds)
        harness.refusesStoreRequest = { false }
        val cancelled = JobRecord(JobState.CANCELLED, 0, gang).toJson()
        harness.write(JobRecord.key(gang.jobId), cancelled)
        harness.write(JobRecord.cancelledKey(gang.jobId), cancelled)
        harness.remove(JobRecord.openKey(gang.jobId))
        var reported = 0
        harness.peerResponse = { path, _ ->
            val update = CancellationUpdate("b", 1_000_000_000, 0, listOf(gang.id))
            if (path == PeerHeartbeats.PATH) PeerHeartbeatCodec.encode(update).also { reported++ }
            else null
        }
        harness.run(1.2.seconds)
        assertTrue(reported > 0, "expected the controller to send a heartbeat to the peer")
        harness.releaseStoreResponses()
        harness.run(3.seconds)
        val machine = ManualWorker(harness, "i-000001")
        val token = machine.fetchLeaderToken()
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        val answers =
            List(3) {
                machine.heartbeatResponse(token, runningTask).also { harness.run(1.seconds) }
            }
        assertContains(answers.joinToString() + harness.directCommands, "\"verb\":\"halt\"")
    }

    @Test
    fun `task pages of completed jobs are read without one request each, and are removed`() {
        val page = Json.parseToJsonElement("""{"d":[0,0]}""")
        repeat(300) { harness.write("t/job-%06d/0".format(it + 10), page) }
        val job = arrayJob(1)
        val cancelled = JobRecord(JobState.CANCELLED, 0, job).toJson()
        harness.write(JobRecord.key(job.jobId), cancelled)
        harness.write(JobRecord.cancelledKey(job.jobId), cancelled)
        harness.run(2.seconds)
        assertFalse(harness.storeRequests.any { it.startsWith("GET /keys/j/") })
        harness.run(60.seconds)
        assertEquals(null, harness.storedValue("t/job-000309/0"))
        assertEquals(null, harness.storedValue("c/job-000001"))
    }

    @Test
    fun `a job bound to one zone stays in it before its machine has sent a heartbeat`() {
        harness.writeAcceptedJob(arrayJob(2, oneZone = true))
        storePlacement("i-000009", "b")
        harness.run(2.seconds)
        val token = leaderToken()
        handleHeartbeats(6, "i-000001", "a", token)
        assertFalse(
            harness.directCommands.any { "job-000001/1" in it },
            "expected no start in zone a: ${harness.directCommands}",
        )
        handleHeartbeats(4, "i-000002", "b", token)
        val last = handleHeartbeat("i-000002", "b", token)
        assertContains(harness.directCommands.joinToString() + last, "job-000001/1")
    }

    @Test
    fun `a stored task that its machine does not list is started only as a new attempt`() {
        harness.writeAcceptedJob(arrayJob(1))
        storePlacement("i-000001", "a")
        harness.run(2.seconds)
        val token = leaderToken()
        // Other tasks may have taken its capacity and quota after the record was written.
        val answers =
            List(4) { handleHeartbeat("i-000001", "a", token).also { harness.run(0.5.seconds) } }
        val sent = answers.joinToString() + harness.directCommands.joinToString()
        assertFalse("""{"verb":"start","piece":"job-000001/0","try":1}""" in sent)
        assertContains(sent, """{"verb":"start","piece":"job-000001/0","try":2}""")
    }

    @Test
    fun `a worker that has seen a newer fencing token is redirected, and the leader steps down`() {
        harness.run(2.seconds)
        handleHeartbeat("i-000001", "a", 0)
        val body =
            """{"box":"i-000001","endpoint":"","boxkind":"mid","ward":"a","shift":1,"tick":99,""" +
                """"baton":999999,"pieces":[]}"""
        val answer = harness.call("POST", "/hello", body.encodeToByteArray())
        assertEquals(true, answer?.first in listOf(421, 503))
    }

    @Test
    fun `a heartbeat with an older fencing token frees no placement`() {
        harness.writeAcceptedJob(arrayJob(1))
        storePlacement("i-000001", "a")
        harness.run(2.seconds)
        val token = leaderToken()
        val stopped = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
        handleHeartbeat("i-000001", "a", token - 1, stopped)
        handleHeartbeats(4, "i-000002", "a", token)
        assertFalse(
            harness.directCommands.any { "job-000001/0" in it },
            "expected no start, because the heartbeat may be an old copy",
        )
        handleHeartbeat("i-000001", "a", token, stopped)
        handleHeartbeats(4, "i-000002", "a", token)
        assertContains(harness.directCommands.joinToString(), """"job-000001/0","try":2""")
    }

    @Test
    fun `a heartbeat that arrives late gets no commands and verifies no absence`() {
        harness.writeAcceptedJob(arrayJob(1))
        storePlacement("i-000001", "a")
        harness.run(2.seconds)
        val token = leaderToken()
        nextTick = 50
        handleHeartbeat("i-000001", "a", token)
        harness.run(0.5.seconds)
        nextTick = 60
        assertContains(handleHeartbeat("i-000001", "a", token), "start")
        nextTick = 10
        assertFalse("start" in handleHeartbeat("i-000001", "a", token))
    }
}
