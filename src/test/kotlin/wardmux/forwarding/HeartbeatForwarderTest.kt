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

/** A follower that takes reports for a leader, which is played here. */
class HeartbeatForwarderTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<HeartbeatBatch>()
    private val token = 7L

    /** What the leader answers; null: it is not reached. */
    private var answer: (HeartbeatBatch) -> HeartbeatBatchResponse? = { grant() }

    private fun grant(
        mail: List<UndeliveredCommands> = emptyList(),
        unknown: List<Long> = emptyList(),
    ) =
        HeartbeatBatchResponse(
            "rig",
            batches.last().number,
            token,
            harness.now.value,
            grant = 5_000_000,
            mail = mail,
            unknown = unknown,
        )

    init {
        harness.writeLeased("leader", Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""))
        harness.peer = { path, body ->
            if (path != ForwardingCodec.PATH) null
            else {
                val batch = ForwardingCodec.batch(body)!!
                batches.add(batch)
                answer(batch)?.let { ForwardingCodec.encode(it) }
            }
        }
        harness.run(1.seconds)
    }

    /** The follower learns the token from the leader's heartbeat. */
    private fun lead(number: Long = token, wants: Boolean = true) {
        val heartbeat = PeerHeartbeat("n1", token = number, wantsRelays = wants)
        harness.call("POST", "/beat", PeerHeartbeatCodec.encode(heartbeat), ListenerKind.PEER)
        harness.run(1.seconds)
    }

    private fun bodies() = batches.flatMap { b -> b.reports.map { it.body.decodeToString() } }

    @Test
    fun `with a grant it answers under the leader's token and hands on what changed`() {
        lead()
        assertContains(machine.handleHeartbeat(0), "\"baton\":$token")
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        val whole = bodies().size
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        assertEquals(whole, bodies().size, "an unchanged report was handed on whole")
        assertTrue(batches.any { it.signs.isNotEmpty() && it.signs[1] == 3L })
        machine.handleHeartbeat(token, """{"piece":"job-000001/0","try":1,"status":"running"}""")
        harness.run(1.seconds)
        assertContains(bodies().last(), "job-000001/0")
    }

    @Test
    fun `it stops by itself when its grant is over, and tells whom to go to`() {
        lead()
        machine.handleHeartbeat(token)
        answer = { null }
        harness.run(4.seconds)
        assertEquals(200, machine.report(token)?.first)
        harness.run(2.seconds)
        val late = machine.report(token)
        assertEquals(421, late?.first)
        assertContains(late!!.second, "n1")
    }

    @Test
    fun `it answers nothing more under a token when a higher one was seen`() {
        lead()
        machine.handleHeartbeat(token)
        ManualWorker(harness, "i-000002").report(token + 1)
        answer = { null }
        assertFalse(machine.report(token)?.first == 200)
    }

    @Test
    fun `a new leader's token drops the old grant and all that was left for machines`() {
        val halt =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.halt("job-000001/0", 1, 0.0)))
        answer = { grant(mail = listOf(halt)) }
        lead()
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        answer = { null }
        lead(token + 5)
        val late = machine.report(token)
        assertFalse(late?.first == 200, "answered under an old grant")
    }

    @Test
    fun `what the leader left for a machine goes with the next answer, of the same session only`() {
        val halt =
            UndeliveredCommands("i-000001", 1, listOf(WorkerCommand.halt("job-000001/0", 1, 0.0)))
        val other =
            UndeliveredCommands("i-000002", 2, listOf(WorkerCommand.halt("job-000001/1", 1, 0.0)))
        lead()
        val second = ManualWorker(harness, "i-000002")
        machine.handleHeartbeat(token)
        second.handleHeartbeat(token)
        answer = { grant(mail = listOf(halt, other)) }
        harness.run(2.seconds)
        answer = { grant() }
        harness.run(2.seconds)
        assertContains(machine.handleHeartbeat(token), "job-000001/0")
        assertFalse("job-000001/1" in second.handleHeartbeat(token))
    }

    @Test
    fun `what a lost batch said is said again, and a batch that leaves out something says so`() {
        lead()
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        machine.handleHeartbeat(token)
        answer = { null }
        harness.run(1.seconds)
        batches.clear()
        answer = { grant() }
        // The way by the state service, on which nobody answers here, is given up first.
        harness.run(12.seconds)
        assertTrue(batches.any { b -> b.signs.isNotEmpty() }, "a sign of life was lost")
        // An answer that the leader asks for by its number is sent whole once more.
        val number = batches.first { it.signs.isNotEmpty() }.signs[0]
        batches.clear()
        answer = { grant(unknown = listOf(number)) }
        harness.run(1.2.seconds)
        answer = { grant() }
        harness.run(2.seconds)
        assertContains(bodies().joinToString(), "i-000001")
    }

    @Test
    fun `with connections refused it goes by way of the state service, and on answering`() {
        lead()
        machine.handleHeartbeat(token)
        harness.peer = { _, _ -> null }
        repeat(12) {
            harness.run(1.seconds)
            val stored = harness.stored("r/n0")?.let { ForwardingCodec.batch(it) }
            if (stored != null && stored.number > batches.last().number) {
                batches.add(stored)
                val all = StoredAnswers(mapOf("n0" to grant()))
                harness.write("a/relays", JsonPrimitive(ForwardingCodec.pack(all)))
            }
            assertEquals(200, machine.report(token)?.first, "after $it s")
        }
        assertTrue(batches.last().signs.isNotEmpty(), "signs of life are not handed on")
        // A late answer is for a batch long past: it grants nothing.
        harness.run(10.seconds)
        harness.write(
            "a/relays",
            JsonPrimitive(ForwardingCodec.pack(StoredAnswers(mapOf("n0" to grant())))),
        )
        harness.run(0.2.seconds)
        assertFalse(machine.report(token)?.first == 200)
    }

    @Test
    fun `where the leader takes all reports itself, workers are sent to it`() {
        answer = {
            HeartbeatBatchResponse("rig", it.number, token, harness.now.value, wanted = false)
        }
        lead(wants = false)
        val sent = machine.report(0)
        assertEquals(421, sent?.first)
        assertContains(sent!!.second, "n1")
    }
}
