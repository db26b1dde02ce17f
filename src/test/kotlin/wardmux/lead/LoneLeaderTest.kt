package wardmux.lead

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.Port
import wardmux.peers.Beat
import wardmux.peers.BeatCodec
import wardmux.secs
import wardmux.sim.ByHand
import wardmux.sim.Rig
import wardmux.sim.plainJob

/** A leader that has lost the state service, and one whose process has just been replaced. */
class LoneLeaderTest {
    private val rig = Rig()
    private val machine = ByHand(rig, "i-000001")

    @Test
    fun `an unsure leader starts nothing, sends each worker on once, and renews who comes back`() {
        rig.run(2.secs)
        val token = machine.token()
        machine.hello(token)
        rig.refuse = { true }
        rig.accept(plainJob(1))
        val statuses = List(14) { machine.report(token)?.first.also { rig.run(1.secs) } }
        assertEquals(1, statuses.count { it == 421 }, "$statuses")
        assertEquals(200, statuses.last())
        assertTrue(rig.direct.none { "start" in it })
        // In a mere outage the worker comes back, and all goes on.
        rig.refuse = { false }
        rig.run(5.secs)
        assertEquals(200, machine.report(token)?.first)
    }

    @Test
    fun `a worker that has met a successor ends the lone leader's term`() {
        rig.run(2.secs)
        val token = machine.token()
        rig.refuse = { true }
        rig.run(6.secs)
        assertNotEquals(200, machine.report(token + 1)?.first)
        assertNotEquals(200, machine.report(token)?.first)
    }

    @Test
    fun `a leader that most machines stopped reporting to lets a sibling lead`() {
        val rig = Rig(siblings = listOf("n1"))
        rig.run(2.secs)
        val machines = List(6) { ByHand(rig, "i-00000$it") }
        val token = machines.first().token()
        val beat = BeatCodec.encode(Beat("n1"))
        fun pass(heard: List<ByHand>, seconds: Int) =
            repeat(seconds) {
                for (machine in heard) machine.report(token)
                rig.call("POST", "/beat", beat, Port.PEER)
                rig.run(1.secs)
            }
        pass(machines, 4)
        pass(machines.take(4), 10)
        assertTrue(rig.stored("leader") != null, "given up for two silent machines of six")
        pass(machines.take(1), 8)
        assertEquals(null, rig.stored("leader"))
    }

    @Test
    fun `a leader that hears no machine at all gives up none of them, and its lease soon`() {
        val rig = Rig(siblings = listOf("n1"))
        rig.run(2.secs)
        val machines = List(11) { ByHand(rig, "i-0000$it") }
        val token = machines.first().token()
        val beat = BeatCodec.encode(Beat("n1"))
        repeat(5) {
            for (machine in machines) machine.report(token)
            rig.run(1.secs)
        }
        repeat(7) {
            rig.call("POST", "/beat", beat, Port.PEER)
            rig.run(1.secs)
        }
        assertEquals(null, rig.stored("leader"))
        assertTrue(rig.cloud.none { "delete" in it }, "machines are given up for its own cut")
    }

    @Test
    fun `a former process's lease is never taken for the own, nor is a stranger's beat heard`() {
        rig.writeLeased("leader", Json.parseToJsonElement("""{"member":"n0","boot":"former"}"""))
        rig.run(3.secs)
        val record = rig.stored("leader")!!.jsonObject
        assertEquals("rig", record.getValue("boot").jsonPrimitive.content)
        val beat = BeatCodec.encode(Beat("stranger", token = Long.MAX_VALUE))
        assertEquals(400, rig.call("POST", "/beat", beat, Port.PEER)?.first)
        assertEquals(400, rig.call("POST", "/beat", ByteArray(9) { -1 }, Port.PEER)?.first)
        machine.token()
    }

    @Test
    fun `stored values that can't be read are passed over`() {
        for (key in listOf("q/job-000009", "t/job-000001/0", "t/job-000008/x", "tags", "m/")) {
            rig.write(key, Json.parseToJsonElement("""["no such thing"]"""))
        }
        rig.accept(plainJob(1))
        rig.run(2.secs)
        val token = machine.token()
        machine.hello(token)
        rig.run(2.secs)
        assertTrue(rig.direct.any { "job-000001/0" in it }, "nothing was started")
    }
}
