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

/** A follower that answers workers for a leader, which is simulated here. */
class HeartbeatForwarderTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<HeartbeatBatch>()
    private val token = 7L

    /** The leader's response; null if it is not reached. */
    private var respond: (HeartbeatBatch) -> HeartbeatBatchResponse? = { grant() }

    private fun grant(
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
                respond(batch)?.let { ForwardingCodec.encode(it) }
            }
        }
        harness.run(1.seconds)
    }

    /** The follower learns the fencing token from the leader's heartbeat. */
    private fun leaderHeartbeat(number: Long = token, forwardingEnabled: Boolean = true) {
        val heartbeat = PeerHeartbeat("n1", token = number, forwardingEnabled = forwardingEnabled)
        harness.call("POST", "/beat", PeerHeartbeatCodec.encode(heartbeat), ListenerKind.PEER)
        harness.run(1.seconds)
    }

    private fun forwardedBodies() =
        batches.flatMap { b -> b.fullHeartbeats.map { it.body.decodeToString() } }

    @Test
    fun `with a grant it answers under the leader's token and forwards what changed`() {
        leaderHeartbeat()
        assertContains(machine.heartbeatResponse(0), "\"baton\":$token")
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        val inFull = forwardedBodies().size
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        assertEquals(inFull, forwardedBodies().size, "an unchanged heartbeat was forwarded in full")
        assertTrue(batches.any { it.unchanged.isNotEmpty() && it.unchanged[1] == 3L })
        machine.heartbeatResponse(token, """{"piece":"job-000001/0","try":1,"status":"running"}""")
        harness.run(1.seconds)
        assertContains(forwardedBodies().last(), "job-000001/0")
    }

    @Test
    fun `it stops by itself when its grant expires, and redirects to the leader`() {
        leaderHeartbeat()
        machine.heartbeatResponse(token)
        respond = { null }
        harness.run(4.seconds)
        assertEquals(200, machine.sendHeartbeat(token)?.first)
        harness.run(2.seconds)
        val late = machine.sendHeartbeat(token)
        assertEquals(421, late?.first)
        assertContains(late!!.second, "n1")
    }

    @Test
    fun `it answers nothing more under a token when a higher one was seen`() {
        leaderHeartbeat()
        machine.heartbeatResponse(token)
        ManualWorker(harness, "i-000002").sendHeartbeat(token + 1)
        respond = { null }
        assertFalse(machine.sendHeartbeat(token)?.first == 200)
    }

    @Test
    fun `a new leader's token ends the old grant and drops undelivered commands`() {
        val undelivered =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)))
        respond = { grant(undelivered = listOf(undelivered)) }
        leaderHeartbeat()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        respond = { null }
        leaderHeartbeat(token + 5)
        val late = machine.sendHeartbeat(token)
        assertFalse(late?.first == 200, "answered under an old grant")
    }

    @Test
    fun `undelivered commands go with the next answer, to the same incarnation only`() {
        val undelivered =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)))
        val other =
            UndeliveredCommands("i-000002", 2, listOf(WorkerCommand.stop("job-000001/1", 1, 0.0)))
        leaderHeartbeat()
        val second = ManualWorker(harness, "i-000002")
        machine.heartbeatResponse(token)
        second.heartbeatResponse(token)
        respond = { grant(undelivered = listOf(undelivered, other)) }
        harness.run(2.seconds)
        respond = { grant() }
        harness.run(2.seconds)
        assertContains(machine.heartbeatResponse(token), "job-000001/0")
        assertFalse("job-000001/1" in second.heartbeatResponse(token))
    }

    @Test
    fun `heartbeats of a lost batch are forwarded again, and those of unknown numbers in full`() {
        leaderHeartbeat()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        machine.heartbeatResponse(token)
        respond = { null }
        harness.run(1.seconds)
        batches.clear()
        respond = { grant() }
        // Forwarding through the store, where nobody responds here, ends first.
        harness.run(12.seconds)
        assertTrue(batches.any { b -> b.unchanged.isNotEmpty() }, "an unchanged heartbeat was lost")
        // A heartbeat that the leader asks for by its number is sent in full once more.
        val number = batches.first { it.unchanged.isNotEmpty() }.unchanged[0]
        batches.clear()
        respond = { grant(unknownNumbers = listOf(number)) }
        harness.run(1.2.seconds)
        respond = { grant() }
        harness.run(2.seconds)
        assertContains(forwardedBodies().joinToString(), "i-000001")
    }

    @Test
    fun `when the leader can't be reached it forwards through the store and answers on`() {
        leaderHeartbeat()
        machine.heartbeatResponse(token)
        harness.peerResponse = { _, _ -> null }
        repeat(12) {
            harness.run(1.seconds)
            val stored = harness.storedValue("r/n0")?.let { ForwardingCodec.decodeBatch(it) }
            if (stored != null && stored.number > batches.last().number) {
                batches.add(stored)
                val responses = StoredBatchResponses(mapOf("n0" to grant()))
                harness.write("a/relays", JsonPrimitive(ForwardingCodec.pack(responses)))
            }
            assertEquals(200, machine.sendHeartbeat(token)?.first, "after $it s")
        }
        assertTrue(batches.last().unchanged.isNotEmpty(), "unchanged heartbeats are not forwarded")
        // A late response is for an earlier batch: it grants nothing.
        harness.run(10.seconds)
        harness.write(
            "a/relays",
            JsonPrimitive(ForwardingCodec.pack(StoredBatchResponses(mapOf("n0" to grant())))),
        )
        harness.run(0.2.seconds)
        assertFalse(machine.sendHeartbeat(token)?.first == 200)
    }

    @Test
    fun `where the leader answers all workers itself, they are redirected to it`() {
        respond = {
            HeartbeatBatchResponse(
                "rig",
                it.number,
                token,
                harness.now.value,
                forwardingEnabled = false,
            )
        }
        leaderHeartbeat(forwardingEnabled = false)
        val redirected = machine.sendHeartbeat(0)
        assertEquals(421, redirected?.first)
        assertContains(redirected!!.second, "n1")
    }
}
