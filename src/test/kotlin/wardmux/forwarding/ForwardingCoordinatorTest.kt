package wardmux.forwarding

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonPrimitive
import wardmux.config.OperatorSettings
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/** The leader's side: what batches prove, and what a grant leaves possible. */
class ForwardingCoordinatorTest {
    private val harness = ControllerHarness(listOf("n1"), OperatorSettings(heartbeatsPerCore = 0.0))
    private val own = List(8) { ManualWorker(harness, "i-00001$it") }
    private var token = 0L
    private var echo = 0L
    private var echoAt = 0L
    private var number = 0L
    private var tick = 0L

    init {
        harness.run(2.seconds)
        token = own.first().token()
    }

    private fun send(batch: HeartbeatBatch): HeartbeatBatchResponse? {
        val status =
            harness.call("POST", "/relay", ForwardingCodec.encode(batch), ListenerKind.PEER)?.first
        if (status != 200) return null
        return ForwardingCodec.answer(harness.bytesOf(harness.lastCall))
    }

    private fun batch(
        reports: List<FullHeartbeat> = emptyList(),
        signs: List<Long> = emptyList(),
        echo: Long = this.echo,
        boot: String = "b",
    ): HeartbeatBatchResponse? {
        val since = harness.now.value - echoAt
        val answer = send(HeartbeatBatch("n1", boot, 1, token, echo, since, reports, signs))
        if (answer != null) {
            this.echo = answer.clock
            echoAt = harness.now.value
        }
        return answer
    }

    private fun report(tasks: String = "", machine: String = "i-000001"): FullHeartbeat {
        val body =
            """{"box":"$machine","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","loaners":""" +
                """false,"shift":1,"tick":${++tick},"baton":$token,"pieces":[$tasks]}"""
        return FullHeartbeat(++number, body.encodeToByteArray())
    }

    private fun ownReport() = own.forEach { it.report(token) }

    private fun heartbeat() =
        harness.call(
            "POST",
            "/beat",
            PeerHeartbeatCodec.encode(PeerHeartbeat("n1")),
            ListenerKind.PEER,
        )

    private fun starts(task: String) = harness.direct.count { "\"start\"" in it && task in it }

    @Test
    fun `a machine that is heard through a relay gets work, directly and only so`() {
        harness.accept(plainJob(1))
        harness.directOutcome = Outcome.NoResponse
        val mail = ArrayList<UndeliveredCommands>()
        mail += batch(listOf(report()))!!.mail
        repeat(6) {
            mail += batch(signs = listOf(number, ++tick))!!.mail
            harness.run(1.seconds)
        }
        assertEquals(1, starts("job-000001/0"))
        // Unanswered, it may still be carried out: it goes no second way.
        assertTrue(mail.flatMap { it.orders }.none { it.verb == "start" })
    }

    @Test
    fun `what ended is forgotten once it is recorded, although the report stays the same`() {
        harness.accept(plainJob(1))
        batch(listOf(report()))
        harness.run(1.seconds)
        val ended = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"done"}"""
        batch(listOf(report(ended)))
        harness.run(2.seconds)
        val answer = batch(signs = listOf(number, ++tick))!!
        assertEquals("forget", answer.mail.single().orders.single().verb)
    }

    @Test
    fun `an unknown number is asked for, and a late copy proves nothing`() {
        val first = report()
        batch(listOf(first))
        assertEquals(listOf(77L), batch(signs = listOf(77, 3))!!.unknown)
        val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        batch(listOf(report(running)))
        // A copy of the first comes late: it frees nothing and brings nothing back.
        batch(listOf(first))
        harness.run(1.seconds)
        assertEquals(null, send(HeartbeatBatch("n1", "b", 1, token - 1, 0, 0)))
        assertEquals(
            400,
            harness.call("POST", "/relay", ByteArray(9) { -1 }, ListenerKind.PEER)?.first,
        )
    }

    private val many = List(6) { "i-00000${it + 1}" }

    /** A task runs on one of several machines at the relay; so many that no one is given up. */
    private fun oneRuns(): String {
        val idle = many.map { report(machine = it) }
        batch(idle)
        harness.accept(plainJob(1))
        harness.run(1.seconds)
        val machine = many.first { isOn(it) }
        val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        batch(many.map { report(if (it == machine) running else "", it) })
        return machine
    }

    private fun isOn(machine: String) = machine in harness.stored("t/job-000001/0").toString()

    /** The machines are silent; the relay, if it [tells], has answered none. */
    private fun pass(until: Micros, boot: String = "b", tells: Boolean) {
        while (harness.now < until) {
            if (tells) batch(boot = boot)
            heartbeat()
            ownReport()
            harness.run(0.5.seconds)
        }
    }

    @Test
    fun `a lease that a relay may still renew is not over, and a restart of it changes nothing`() {
        val machine = oneRuns()
        val lastSign = harness.now
        // The relay falls silent with a grant that runs on: it may have renewed since.
        pass(lastSign + 17.seconds, tells = false)
        // A new process of the member tells nothing of what the former one answered.
        echo = 0
        pass(lastSign + 20.seconds, boot = "c", tells = true)
        assertTrue(isOn(machine), "the lease was taken for over while a grant may have run")
        pass(lastSign + 26.seconds, boot = "c", tells = true)
        assertFalse(isOn(machine), "its lease never ends")
    }

    @Test
    fun `a relay that has told all lets a lease end as if the leader had heard itself`() {
        val machine = oneRuns()
        val lastSign = harness.now
        pass(lastSign + 16.seconds, tells = true)
        assertTrue(isOn(machine))
        pass(lastSign + 20.seconds, tells = true)
        assertFalse(isOn(machine))
    }

    @Test
    fun `a leader that hears its machines and reaches none of them lets another lead`() {
        harness.directOutcome = Outcome.NoResponse
        batch(many.map { report(machine = it) })
        harness.accept(plainJob(6).copy(cpus = 10.0))
        repeat(5) {
            heartbeat()
            harness.run(1.seconds)
        }
        assertTrue(harness.stored("leader") != null, "given up for machines that may be dead")
        batch(many.map { report(machine = it) })
        harness.run(1.seconds)
        assertEquals(null, harness.stored("leader"))
    }

    @Test
    fun `a batch left in the state service is answered there, one that can't be read passed over`() {
        harness.write("r/n2", JsonPrimitive("no such thing"))
        harness.write("r/n3", JsonPrimitive(42))
        val batch = HeartbeatBatch("n1", "b", 9, token, 0, 0, listOf(report()))
        harness.write("r/n1", JsonPrimitive(ForwardingCodec.pack(batch)))
        harness.run(2.seconds)
        val answer = ForwardingCodec.answers(harness.stored("a/relays")!!)!!.byMember.getValue("n1")
        assertEquals(9, answer.number)
        assertTrue(answer.grant > 0)
    }

    /** Requests of 5 s in which each of the machines at the relay gives a sign of life a second. */
    private fun requestsWith(machines: Int): Int {
        val numbers = ArrayList<Long>()
        repeat(machines) {
            batch(listOf(report(machine = "i-%06d".format(1_000 + it))))
            numbers.add(number)
        }
        harness.run(1.seconds)
        harness.stateCalls.clear()
        harness.direct.clear()
        repeat(5) {
            val answer = batch(signs = numbers.flatMap { n -> listOf(n, ++tick) })!!
            assertTrue(answer.unknown.isEmpty() && answer.mail.isEmpty())
            ownReport()
            heartbeat()
            harness.run(1.seconds)
        }
        assertEquals(emptyList(), harness.direct)
        return harness.stateCalls.size
    }

    @Test
    fun `what says nothing new costs the state service nothing, however many say it`() {
        val few = requestsWith(20)
        val many = requestsWith(2_000)
        assertTrue(many <= few + 2, "$few requests with 20 machines, $many with 2,000")
    }

    @Test
    fun `a batch that was held up gives an old sign of life`() {
        batch(listOf(report()))
        harness.run(1.seconds)
        val old = echo
        // Sent now, and held up for long.
        val late = HeartbeatBatch("n1", "b", 1, token, old, 0, emptyList(), listOf(number, ++tick))
        repeat(20) {
            ownReport()
            heartbeat()
            harness.run(0.5.seconds)
        }
        send(late)
        repeat(3) {
            ownReport()
            heartbeat()
            harness.run(0.5.seconds)
        }
        val deletions = harness.cloud.filter { it.startsWith("/machines/delete") }
        assertContains(deletions.joinToString(), "i-000001")
    }
}
