package wardmux.leader

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.core.ListenerKind
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/** A leader that can't reach the key-value store or its workers, or whose process was replaced. */
class IsolatedLeaderTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `a leader unsure of its lease starts nothing and redirects each worker once`() {
        harness.run(2.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.refuse = { true }
        harness.accept(plainJob(1))
        val statuses = List(14) { machine.report(token)?.first.also { harness.run(1.seconds) } }
        assertEquals(1, statuses.count { it == 421 }, "$statuses")
        assertEquals(200, statuses.last())
        assertTrue(harness.direct.none { "start" in it })
        // After an outage the worker returns and is renewed.
        harness.refuse = { false }
        harness.run(5.seconds)
        assertEquals(200, machine.report(token)?.first)
    }

    @Test
    fun `a worker that has seen a newer fencing token ends the isolated leader's term`() {
        harness.run(2.seconds)
        val token = machine.token()
        harness.refuse = { true }
        harness.run(6.seconds)
        assertNotEquals(200, machine.report(token + 1)?.first)
        assertNotEquals(200, machine.report(token)?.first)
    }

    /** A leader with a peer and [count] machines, the first of which has asked for its token. */
    private class LeaderWithPeer(count: Int, idPrefix: String) {
        val harness = ControllerHarness(peers = listOf("n1")).also { it.run(2.seconds) }
        val machines = List(count) { ManualWorker(harness, "$idPrefix$it") }
        val token = machines.first().token()
        private val peerHeartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("n1"))

        /** Seconds in which [senders] send heartbeats, and the peer does if [includePeer]. */
        fun sendHeartbeatsFor(seconds: Int, senders: List<ManualWorker>, includePeer: Boolean) =
            repeat(seconds) {
                for (machine in senders) machine.report(token)
                if (includePeer) harness.call("POST", "/beat", peerHeartbeat, ListenerKind.PEER)
                harness.run(1.seconds)
            }
    }

    @Test
    fun `a leader that most machines send no heartbeats resigns for a peer to lead`() {
        val leader = LeaderWithPeer(6, "i-00000")
        leader.sendHeartbeatsFor(4, leader.machines, includePeer = true)
        leader.sendHeartbeatsFor(10, leader.machines.take(4), includePeer = true)
        val record = leader.harness.stored("leader")
        assertTrue(record != null, "resigned for two silent machines of six")
        leader.sendHeartbeatsFor(8, leader.machines.take(1), includePeer = true)
        assertEquals(null, leader.harness.stored("leader"))
    }

    @Test
    fun `a leader without any heartbeat decommissions no machine, and soon resigns`() {
        val leader = LeaderWithPeer(11, "i-0000")
        leader.sendHeartbeatsFor(5, leader.machines, includePeer = false)
        leader.sendHeartbeatsFor(7, emptyList(), includePeer = true)
        assertEquals(null, leader.harness.stored("leader"))
        assertTrue(
            leader.harness.cloud.none { "delete" in it },
            "machines deleted: the leader is cut off",
        )
    }

    @Test
    fun `a leader does not resign in an outage, in which nobody could take its lease`() {
        val leader = LeaderWithPeer(11, "i-0000")
        leader.sendHeartbeatsFor(5, leader.machines, includePeer = false)
        // No heartbeat for long enough that it would resign, had the outage not begun.
        leader.harness.run(3.seconds)
        leader.harness.outage()
        leader.sendHeartbeatsFor(4, emptyList(), includePeer = true)
        val response = leader.machines.first().handleHeartbeat(leader.token)
        assertContains(response, "\"baton\":${leader.token}")
    }

    @Test
    fun `a former process's lease is not taken for its own, and an unknown peer is refused`() {
        harness.writeLeased(
            "leader",
            Json.parseToJsonElement("""{"member":"n0","boot":"former"}"""),
        )
        harness.run(3.seconds)
        val record = harness.stored("leader")!!.jsonObject
        assertEquals("rig", record.getValue("boot").jsonPrimitive.content)
        val heartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("stranger", token = Long.MAX_VALUE))
        assertEquals(400, harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)?.first)
        assertEquals(
            400,
            harness.call("POST", "/beat", ByteArray(9) { -1 }, ListenerKind.PEER)?.first,
        )
        machine.token()
    }

    @Test
    fun `stored values that can't be read are skipped`() {
        for (key in listOf("q/job-000009", "t/job-000001/0", "t/job-000008/x", "tags", "m/")) {
            harness.write(key, Json.parseToJsonElement("""["no such thing"]"""))
        }
        harness.accept(plainJob(1))
        harness.run(2.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.run(2.seconds)
        assertTrue(harness.direct.any { "job-000001/0" in it }, "nothing was started")
    }
}
