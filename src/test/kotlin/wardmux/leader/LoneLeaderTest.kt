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

/** A leader that has lost the state service, and one whose process has just been replaced. */
class LoneLeaderTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `an unsure leader starts nothing, sends each worker on once, and renews who comes back`() {
        harness.run(2.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.refuse = { true }
        harness.accept(plainJob(1))
        val statuses = List(14) { machine.report(token)?.first.also { harness.run(1.seconds) } }
        assertEquals(1, statuses.count { it == 421 }, "$statuses")
        assertEquals(200, statuses.last())
        assertTrue(harness.direct.none { "start" in it })
        // In a mere outage the worker comes back, and all goes on.
        harness.refuse = { false }
        harness.run(5.seconds)
        assertEquals(200, machine.report(token)?.first)
    }

    @Test
    fun `a worker that has met a successor ends the lone leader's term`() {
        harness.run(2.seconds)
        val token = machine.token()
        harness.refuse = { true }
        harness.run(6.seconds)
        assertNotEquals(200, machine.report(token + 1)?.first)
        assertNotEquals(200, machine.report(token)?.first)
    }

    @Test
    fun `a leader that most machines stopped reporting to lets a sibling lead`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        harness.run(2.seconds)
        val machines = List(6) { ManualWorker(harness, "i-00000$it") }
        val token = machines.first().token()
        val heartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("n1"))
        fun pass(heard: List<ManualWorker>, inSeconds: Int) =
            repeat(inSeconds) {
                for (machine in heard) machine.report(token)
                harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)
                harness.run(1.seconds)
            }
        pass(machines, 4)
        pass(machines.take(4), 10)
        assertTrue(harness.stored("leader") != null, "given up for two silent machines of six")
        pass(machines.take(1), 8)
        assertEquals(null, harness.stored("leader"))
    }

    @Test
    fun `a leader that hears no machine at all gives up none of them, and its lease soon`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        harness.run(2.seconds)
        val machines = List(11) { ManualWorker(harness, "i-0000$it") }
        val token = machines.first().token()
        val heartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("n1"))
        repeat(5) {
            for (machine in machines) machine.report(token)
            harness.run(1.seconds)
        }
        repeat(7) {
            harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)
            harness.run(1.seconds)
        }
        assertEquals(null, harness.stored("leader"))
        assertTrue(harness.cloud.none { "delete" in it }, "machines are given up for its own cut")
    }

    @Test
    fun `a leader keeps its lease in an outage, in which nobody could take it`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        harness.run(2.seconds)
        val machines = List(11) { ManualWorker(harness, "i-0000$it") }
        val token = machines.first().token()
        val heartbeat = PeerHeartbeatCodec.encode(PeerHeartbeat("n1"))
        repeat(5) {
            for (machine in machines) machine.report(token)
            harness.run(1.seconds)
        }
        // None is heard for long enough to give the lease up, had the outage not begun.
        harness.run(3.seconds)
        harness.outage()
        repeat(4) {
            harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)
            harness.run(1.seconds)
        }
        assertContains(machines.first().handleHeartbeat(token), "\"baton\":$token")
    }

    @Test
    fun `a former process's lease is never taken for the own, nor is a stranger's heartbeat heard`() {
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
    fun `stored values that can't be read are passed over`() {
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
