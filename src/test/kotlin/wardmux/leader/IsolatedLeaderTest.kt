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

/**
 * Guards against a leader that keeps acting although it cannot reach the key-value store or its
 * workers, or although its process was replaced. Such a leader could start tasks that a newer
 * leader also starts, or delete machines that are healthy.
 */
class IsolatedLeaderTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `a leader unsure of its lease starts nothing and redirects each worker once`() {
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.refusesStoreRequest = { true }
        harness.writeAcceptedJob(plainJob(1))
        val statuses =
            List(14) { machine.sendHeartbeat(token)?.first.also { harness.run(1.seconds) } }
        assertEquals(1, statuses.count { it == 421 }, "expected one redirect, saw $statuses")
        assertEquals(200, statuses.last())
        assertTrue(harness.directCommands.none { "start" in it })
        // After the outage the worker returns and its lease is renewed.
        harness.refusesStoreRequest = { false }
        harness.run(5.seconds)
        assertEquals(200, machine.sendHeartbeat(token)?.first)
    }

    @Test
    fun `a worker that has seen a newer fencing token ends the isolated leader's term`() {
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        harness.refusesStoreRequest = { true }
        harness.run(6.seconds)
        assertNotEquals(200, machine.sendHeartbeat(token + 1)?.first)
        assertNotEquals(200, machine.sendHeartbeat(token)?.first)
    }

    /** A leader with a peer and [count] machines. The first of these has asked for its token. */
    private class LeaderWithPeer(count: Int, idPrefix: String) {
        val harness = ControllerHarness(peers = listOf("n1")).also { it.run(2.seconds) }
        val machines = List(count) { ManualWorker(harness, "$idPrefix$it") }
        val token = machines.first().fetchLeaderToken()
        private val peerHeartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("n1"))

        /** Lets [senders] and, if [includePeer], the peer send a heartbeat in each of [seconds]. */
        fun sendHeartbeatsFor(seconds: Int, senders: List<ManualWorker>, includePeer: Boolean) =
            repeat(seconds) {
                for (machine in senders) machine.sendHeartbeat(token)
                if (includePeer) harness.call("POST", "/beat", peerHeartbeat, ListenerKind.PEER)
                harness.run(1.seconds)
            }
    }

    @Test
    fun `a leader that gets no heartbeats from most machines resigns for a peer to lead`() {
        val leader = LeaderWithPeer(6, "i-00000")
        leader.sendHeartbeatsFor(4, leader.machines, includePeer = true)
        leader.sendHeartbeatsFor(10, leader.machines.take(4), includePeer = true)
        val record = leader.harness.storedValue("leader")
        assertTrue(
            record != null,
            "expected no resignation when two of six machines send no heartbeats",
        )
        leader.sendHeartbeatsFor(8, leader.machines.take(1), includePeer = true)
        assertEquals(null, leader.harness.storedValue("leader"))
    }

    @Test
    fun `a leader without any heartbeat decommissions no machine, and soon resigns`() {
        val leader = LeaderWithPeer(11, "i-0000")
        leader.sendHeartbeatsFor(5, leader.machines, includePeer = false)
        leader.sendHeartbeatsFor(7, emptyList(), includePeer = true)
        assertEquals(null, leader.harness.storedValue("leader"))
        assertTrue(
            leader.harness.cloudRequests.none { "delete" in it },
            "expected no deletion, because the leader is cut off: ${leader.harness.cloudRequests}",
        )
    }

    @Test
    fun `a leader does not resign in an outage, when no controller could take its lease`() {
        val leader = LeaderWithPeer(11, "i-0000")
        leader.sendHeartbeatsFor(5, leader.machines, includePeer = false)
        // Heartbeats are missing for long enough that the leader would resign without the outage.
        leader.harness.run(3.seconds)
        leader.harness.startStoreOutage()
        leader.sendHeartbeatsFor(4, emptyList(), includePeer = true)
        val response = leader.machines.first().heartbeatResponse(leader.token)
        assertContains(response, "\"baton\":${leader.token}")
    }

    @Test
    fun `a leader does not adopt the lease of a former process, and an unknown peer is refused`() {
        harness.writeWithOtherLease(
            "leader",
            Json.parseToJsonElement("""{"member":"n0","boot":"former"}"""),
        )
        harness.run(3.seconds)
        val record = harness.storedValue("leader")!!.jsonObject
        assertEquals("rig", record.getValue("boot").jsonPrimitive.content)
        val heartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("stranger", token = Long.MAX_VALUE))
        assertEquals(400, harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)?.first)
        assertEquals(
            400,
            harness.call("POST", "/beat", ByteArray(9) { -1 }, ListenerKind.PEER)?.first,
        )
        machine.fetchLeaderToken()
    }

    @Test
    fun `stored values that can't be read are skipped`() {
        for (key in listOf("q/job-000009", "t/job-000001/0", "t/job-000008/x", "tags", "m/")) {
            harness.write(key, Json.parseToJsonElement("""["no such thing"]"""))
        }
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(2.seconds)
        assertTrue(
            harness.directCommands.any { "job-000001/0" in it },
            "expected a start of job-000001/0, saw ${harness.directCommands}",
        )
    }
}
