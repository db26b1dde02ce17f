package wardmux.forwarding

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.Port
import wardmux.model.secs
import wardmux.peers.Heartbeat
import wardmux.peers.HeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.worker.Order

/** A follower that takes reports for a leader, which is played here. */
class RelayTest {
    private val harness = ControllerHarness(siblings = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<Batch>()
    private val token = 7L

    /** What the leader answers; null: it is not reached. */
    private var answer: (Batch) -> BatchAnswer? = { grant() }

    private fun grant(mail: List<Mail> = emptyList(), unknown: List<Long> = emptyList()) =
        BatchAnswer(
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
        harness.sibling = { path, body ->
            if (path != RelayCodec.PATH) null
            else {
                val batch = RelayCodec.batch(body)!!
                batches.add(batch)
                answer(batch)?.let { RelayCodec.encode(it) }
            }
        }
        harness.run(1.secs)
    }

    /** The follower learns the token from the leader's heartbeat. */
    private fun lead(number: Long = token, wants: Boolean = true) {
        val heartbeat = Heartbeat("n1", token = number, wantsRelays = wants)
        harness.call("POST", "/beat", HeartbeatCodec.encode(heartbeat), Port.PEER)
        harness.run(1.secs)
    }

    private fun bodies() = batches.flatMap { b -> b.reports.map { it.body.decodeToString() } }

    @Test
    fun `with a grant it answers under the leader's token and hands on what changed`() {
        lead()
        assertContains(machine.handleReport(0), "\"baton\":$token")
        machine.handleReport(token)
        harness.run(1.secs)
        val whole = bodies().size
        machine.handleReport(token)
        harness.run(1.secs)
        assertEquals(whole, bodies().size, "an unchanged report was handed on whole")
        assertTrue(batches.any { it.signs.isNotEmpty() && it.signs[1] == 3L })
        machine.handleReport(token, """{"piece":"job-000001/0","try":1,"status":"running"}""")
        harness.run(1.secs)
        assertContains(bodies().last(), "job-000001/0")
    }

    @Test
    fun `it stops by itself when its grant is over, and tells whom to go to`() {
        lead()
        machine.handleReport(token)
        answer = { null }
        harness.run(4.secs)
        assertEquals(200, machine.report(token)?.first)
        harness.run(2.secs)
        val late = machine.report(token)
        assertEquals(421, late?.first)
        assertContains(late!!.second, "n1")
    }

    @Test
    fun `it answers nothing more under a token when a higher one was seen`() {
        lead()
        machine.handleReport(token)
        ManualWorker(harness, "i-000002").report(token + 1)
        answer = { null }
        assertFalse(machine.report(token)?.first == 200)
    }

    @Test
    fun `a new leader's token drops the old grant and all that was left for machines`() {
        val halt = Mail("i-000001", 1, listOf(Order.halt("job-000001/0", 1, 0.0)))
        answer = { grant(mail = listOf(halt)) }
        lead()
        machine.handleReport(token)
        harness.run(1.secs)
        answer = { null }
        lead(token + 5)
        val late = machine.report(token)
        assertFalse(late?.first == 200, "answered under an old grant")
    }

    @Test
    fun `what the leader left for a machine goes with the next answer, of the same session only`() {
        val halt = Mail("i-000001", 1, listOf(Order.halt("job-000001/0", 1, 0.0)))
        val other = Mail("i-000002", 2, listOf(Order.halt("job-000001/1", 1, 0.0)))
        lead()
        val second = ManualWorker(harness, "i-000002")
        machine.handleReport(token)
        second.handleReport(token)
        answer = { grant(mail = listOf(halt, other)) }
        harness.run(2.secs)
        answer = { grant() }
        harness.run(2.secs)
        assertContains(machine.handleReport(token), "job-000001/0")
        assertFalse("job-000001/1" in second.handleReport(token))
    }

    @Test
    fun `what a lost batch said is said again, and a batch that leaves out something says so`() {
        lead()
        machine.handleReport(token)
        harness.run(1.secs)
        machine.handleReport(token)
        answer = { null }
        harness.run(1.secs)
        batches.clear()
        answer = { grant() }
        // The way by the state service, on which nobody answers here, is given up first.
        harness.run(12.secs)
        assertTrue(batches.any { b -> b.signs.isNotEmpty() }, "a sign of life was lost")
        // An answer that the leader asks for by its number is sent whole once more.
        val number = batches.first { it.signs.isNotEmpty() }.signs[0]
        batches.clear()
        answer = { grant(unknown = listOf(number)) }
        harness.run(1.2.secs)
        answer = { grant() }
        harness.run(2.secs)
        assertContains(bodies().joinToString(), "i-000001")
    }

    @Test
    fun `with connections refused it goes by way of the state service, and on answering`() {
        lead()
        machine.handleReport(token)
        harness.sibling = { _, _ -> null }
        repeat(12) {
            harness.run(1.secs)
            val stored = harness.stored("r/n0")?.let { RelayCodec.batch(it) }
            if (stored != null && stored.number > batches.last().number) {
                batches.add(stored)
                val all = StoredAnswers(mapOf("n0" to grant()))
                harness.write("a/relays", JsonPrimitive(RelayCodec.pack(all)))
            }
            assertEquals(200, machine.report(token)?.first, "after $it s")
        }
        assertTrue(batches.last().signs.isNotEmpty(), "signs of life are not handed on")
        // A late answer is for a batch long past: it grants nothing.
        harness.run(10.secs)
        harness.write(
            "a/relays",
            JsonPrimitive(RelayCodec.pack(StoredAnswers(mapOf("n0" to grant())))),
        )
        harness.run(0.2.secs)
        assertFalse(machine.report(token)?.first == 200)
    }

    @Test
    fun `where the leader takes all reports itself, workers are sent to it`() {
        answer = { BatchAnswer("rig", it.number, token, harness.now.value, wanted = false) }
        lead(wants = false)
        val sent = machine.report(0)
        assertEquals(421, sent?.first)
        assertContains(sent!!.second, "n1")
    }
}
