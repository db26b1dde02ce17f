package wardmux.forwarding

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.ListenerKind
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.worker.WorkerCommand

/**
 * Tests heartbeat forwarding on a follower; the test plays the leader n1. Guards against answering
 * workers after the grant has expired or the leader has changed, and against losing heartbeats or
 * commands when batches are lost.
 */
class HeartbeatForwarderTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val worker = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<HeartbeatBatch>()
    private val token = 7L

    /**
     * Produces the leader's response to a batch; null simulates that the leader can't be reached.
     */
    private var leaderResponse: (HeartbeatBatch) -> HeartbeatBatchResponse? = { grantingResponse() }

    private fun grantingResponse(
        undelivered: List<UndeliveredCommands> = emptyList(),
        unknownNumbers: List<Long> = emptyList(),
    ) =
        HeartbeatBatchResponse(
            "rig",
            batches.last().number,
            token,
            harness.now.value,
            grantDuration = 5_000_000,
            undelivered = undelivered,
            unknownNumbers = unknownNumbers,
        )

    init {
        harness.writeWithOtherLease(
            "leader",
            Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""),
        )
        harness.peerResponse = { path, body ->
            if (path != ForwardingCodec.PATH) null
            else {
                val batch = ForwardingCodec.decodeBatch(body)!!
                batches.add(batch)
                leaderResponse(batch)?.let { ForwardingCodec.encode(it) }
            }
        }
        harness.run(1.seconds)
    }

    /** Sends a heartbeat of the leader, from which the follower learns the fencing token. */
    private fun sendLeaderHeartbeat(token: Long = this.token, forwardingEnabled: Boolean = true) {
        val heartbeat = PeerHeartbeat("n1", token = token, forwardingEnabled = forwardingEnabled)
        harness.call("POST", "/beat", PeerHeartbeatCodec.encode(heartbeat), ListenerKind.PEER)
        harness.run(1.seconds)
    }

    private fun forwardedBodies() =
        batches.flatMap { b -> b.fullHeartbeats.map { it.body.decodeToString() } }

    @Test
    fun `a follower with a grant answers under the leader's token and forwards changes in full`() {
        sendLeaderHeartbeat()
        assertContains(worker.heartbeatResponse(0), "\"baton\":$token")
        worker.heartbeatResponse(token)
        harness.run(1.seconds)
        val fullCount = forwardedBodies().size
        worker.heartbeatResponse(token)
        harness.run(1.seconds)
        assertEquals(
            fullCount,
            forwardedBodies().size,
            "an unchanged heartbeat was forwarded in full",
        )
        assertTrue(batches.any { it.unchanged.isNotEmpty() && it.unchanged[1] == 3L })
        worker.heartbeatResponse(token, """{"piece":"job-000001/0","try":1,"status":"running"}""")
        harness.run(1.seconds)
        assertContains(forwardedBodies().last(), "job-000001/0")
    }

    @Test
    fun `a follower whose grant has expired redirects workers to the leader`() {
        sendLeaderHeartbeat()
        worker.heartbeatResponse(token)
        leaderResponse = { null }
        harness.run(4.seconds)
        assertEquals(200, worker.sendHeartbeat(token)?.first)
        harness.run(2.seconds)
        val answer = worker.sendHeartbeat(token)
        assertEquals(421, answer?.first)
        assertContains(answer!!.second, "n1")
    }

    @Test
    fun `a follower stops answering under its token once a worker has a higher one`() {
        sendLeaderHeartbeat()
        worker.heartbeatResponse(token)
        ManualWorker(harness, "i-000002").sendHeartbeat(token + 1)
        leaderResponse = { null }
        assertFalse(worker.sendHeartbeat(token)?.first == 200)
    }

    @Test
    fun `a new leader's token revokes the old grant and drops undelivered commands`() {
        val undelivered =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)))
        leaderResponse = { grantingResponse(undelivered = listOf(undelivered)) }
        sendLeaderHeartbeat()
        worker.heartbeatResponse(token)
        harness.run(1.seconds)
        leaderResponse = { null }
        sendLeaderHeartbeat(token + 5)
        val answer = worker.sendHeartbeat(token)
        assertFalse(
            answer?.first == 200,
            "the worker was answered under the previous leader's grant",
        )
    }

    @Test
    fun `undelivered commands are in the next answer only if the incarnation is the same`() {
        val undelivered =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)))
        val commandForOtherIncarnation =
            UndeliveredCommands("i-000002", 2, listOf(WorkerCommand.stop("job-000001/1", 1, 0.0)))
        sendLeaderHeartbeat()
        val secondWorker = ManualWorker(harness, "i-000002")
        worker.heartbeatResponse(token)
        secondWorker.heartbeatResponse(token)
        leaderResponse = {
            grantingResponse(undelivered = listOf(undelivered, commandForOtherIncarnation))
        }
        harness.run(2.seconds)
        leaderResponse = { grantingResponse() }
        harness.run(2.seconds)
        assertContains(worker.heartbeatResponse(token), "job-000001/0")
        assertFalse("job-000001/1" in secondWorker.heartbeatResponse(token))
    }

    @Test
    fun `heartbeats of a lost batch are forwarded again, and requested ones in full`() {
        sendLeaderHeartbeat()
        worker.heartbeatResponse(token)
        harness.run(1.seconds)
        worker.heartbeatResponse(token)
        leaderResponse = { null }
        harness.run(1.seconds)
        batches.clear()
        leaderResponse = { grantingResponse() }
        // After the lost batch the follower sends through the store, where nothing responds in this
        // test. The wait lasts until it sends directly again.
        harness.run(12.seconds)
        assertTrue(
            batches.any { b -> b.unchanged.isNotEmpty() },
            "no batch contains the unchanged heartbeat of the lost batch",
        )
        // The leader requests the heartbeat by its number, so it is sent in full again.
        val number = batches.first { it.unchanged.isNotEmpty() }.unchanged[0]
        batches.clear()
        leaderResponse = { grantingResponse(unknownNumbers = listOf(number)) }
        harness.run(1.2.seconds)
        leaderResponse = { grantingResponse() }
        harness.run(2.seconds)
        assertContains(forwardedBodies().joinToString(), "i-000001")
    }

    @Test
    fun `a follower that can't reach the leader keeps answering by forwarding through the store`() {
        sendLeaderHeartbeat()
        worker.heartbeatResponse(token)
        harness.peerResponse = { _, _ -> null }
        repeat(12) {
            harness.run(1.seconds)
            val stored = harness.storedValue("r/n0")?.let { ForwardingCodec.decodeBatch(it) }
            if (stored != null && stored.number > batches.last().number) {
                batches.add(stored)
                val responses = StoredBatchResponses(mapOf("n0" to grantingResponse()))
                harness.write("a/relays", JsonPrimitive(ForwardingCodec.pack(responses)))
            }
            assertEquals(
                200,
                worker.sendHeartbeat(token)?.first,
                "answer to the worker after ${it + 1} s without a direct connection",
            )
        }
        assertTrue(
            batches.last().unchanged.isNotEmpty(),
            "the last stored batch contains no unchanged heartbeat",
        )
        // A delayed response belongs to an earlier batch, so it grants nothing.
        harness.run(10.seconds)
        harness.write(
            "a/relays",
            JsonPrimitive(
                ForwardingCodec.pack(StoredBatchResponses(mapOf("n0" to grantingResponse())))
            ),
        )
        harness.run(0.2.seconds)
        assertFalse(worker.sendHeartbeat(token)?.first == 200)
    }

    @Test
    fun `workers are redirected to the leader if forwarding is disabled`() {
        leaderResponse = {
            HeartbeatBatchResponse(
                "rig",
                it.number,
                token,
                harness.now.value,
                forwardingEnabled = false,
            )
        }
        sendLeaderHeartbeat(forwardingEnabled = false)
        val redirected = worker.sendHeartbeat(0)
        assertEquals(421, redirected?.first)
        assertContains(redirected!!.second, "n1")
    }
}
