package wardmux.forwarding

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.forwardingSettings
import wardmux.sim.plainJob

/** The leader's side: what follows from a batch, and what a grant leaves possible. */
class ForwardingCoordinatorTest {
    private val harness = ControllerHarness(listOf("n1"), forwardingSettings())
    private val directMachines = List(8) { ManualWorker(harness, "i-00001$it") }
    private var token = 0L
    private var echo = 0L
    private var echoAt = 0L
    private var number = 0L
    private var tick = 0L

    init {
        harness.run(2.seconds)
        token = directMachines.first().fetchLeaderToken()
    }

    private fun send(batch: HeartbeatBatch): HeartbeatBatchResponse? {
        val status =
            harness.call("POST", "/relay", ForwardingCodec.encode(batch), ListenerKind.PEER)?.first
        if (status != 200) return null
        return ForwardingCodec.decodeResponse(harness.responseBodyOf(harness.lastRequestId))
    }

    private fun batch(
        reports: List<FullHeartbeat> = emptyList(),
        unchanged: List<Long> = emptyList(),
        echo: Long = this.echo,
        boot: String = "b",
    ): HeartbeatBatchResponse? {
        val since = harness.now.value - echoAt
        val answer = send(HeartbeatBatch("n1", boot, 1, token, echo, since, reports, unchanged))
        if (answer != null) {
            this.echo = answer.leaderClock
            echoAt = harness.now.value
        }
        return answer
    }

    private fun full(tasks: String = "", machine: String = "i-000001"): FullHeartbeat {
        val body =
            """{"box":"$machine","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","loaners":""" +
                """false,"shift":1,"tick":${++tick},"baton":$token,"pieces":[$tasks]}"""
        return FullHeartbeat(++number, body.encodeToByteArray())
    }

    private fun directHeartbeats() = directMachines.forEach { it.sendHeartbeat(token) }

    private fun peerHeartbeat() =
        harness.call(
            "POST",
            "/beat",
            PeerHeartbeatCodec.encode(PeerHeartbeat("n1")),
            ListenerKind.PEER,
        )

    private fun starts(task: String) =
        harness.directCommands.count { "\"start\"" in it && task in it }

    @Test
    fun `a machine with a forwarded heartbeat gets starts, by direct commands only`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.directCommandOutcome = Outcome.NoResponse
        val undelivered = ArrayList<UndeliveredCommands>()
        undelivered += batch(listOf(full()))!!.undelivered
        repeat(6) {
            undelivered += batch(unchanged = listOf(number, ++tick))!!.undelivered
            harness.run(1.seconds)
        }
        assertEquals(1, starts("job-000001/0"))
        // An unanswered start may still be executed: it is not sent another way.
        assertTrue(undelivered.flatMap { it.commands }.none { it.typeName == "start" })
    }

    @Test
    fun `an ended task is forgotten once it is recorded, although the heartbeat is unchanged`() {
        harness.writeAcceptedJob(plainJob(1))
        batch(listOf(full()))
        harness.run(1.seconds)
        val ended = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"done"}"""
        batch(listOf(full(ended)))
        harness.run(2.seconds)
        val response = batch(unchanged = listOf(number, ++tick))!!
        assertEquals("forget", response.undelivered.single().commands.single().typeName)
    }

    @Test
    fun `an unknown number is asked for, and a late copy changes nothing`() {
        val first = full()
        batch(listOf(first))
        assertEquals(listOf(77L), batch(unchanged = listOf(77, 3))!!.unknownNumbers)
        val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        batch(listOf(full(running)))
        // A copy of the first comes late: it ends no task and brings none back.
        batch(listOf(first))
        harness.run(1.seconds)
        assertEquals(null, send(HeartbeatBatch("n1", "b", 1, token - 1, 0, 0)))
        assertEquals(
            400,
            harness.call("POST", "/relay", ByteArray(9) { -1 }, ListenerKind.PEER)?.first,
        )
    }

    private val machines = List(6) { "i-00000${it + 1}" }

    /** A task runs on one of the forwarder's machines; so many that none is decommissioned. */
    private fun runOneTask(): String {
        val idle = machines.map { full(machine = it) }
        batch(idle)
        harness.writeAcceptedJob(plainJob(1))
        harness.run(1.seconds)
        val machine = machines.first { isOn(it) }
        val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        batch(machines.map { full(if (it == machine) running else "", it) })
        return machine
    }

    private fun isOn(machine: String) = machine in harness.storedValue("t/job-000001/0").toString()

    /** The machines are silent; the forwarder, if it [reports], has answered none. */
    private fun runSilent(until: Micros, boot: String = "b", reports: Boolean) {
        while (harness.now < until) {
            if (reports) batch(boot = boot)
            peerHeartbeat()
            directHeartbeats()
            harness.run(0.5.seconds)
        }
    }

    @Test
    fun `a lease that a forwarder may still renew is not expired, also if it is restarted`() {
        val machine = runOneTask()
        val lastHeartbeatAt = harness.now
        // The forwarder falls silent with a valid grant: it may have renewed the lease since.
        runSilent(lastHeartbeatAt + 17.seconds, reports = false)
        // A new process of the member does not report what the former one answered.
        echo = 0
        runSilent(lastHeartbeatAt + 20.seconds, boot = "c", reports = true)
        assertTrue(isOn(machine), "the lease was taken for expired while a grant was valid")
        runSilent(lastHeartbeatAt + 26.seconds, boot = "c", reports = true)
        assertFalse(isOn(machine), "its lease never expires")
    }

    @Test
    fun `where a forwarder has reported all, a lease expires as if the leader had answered`() {
        val machine = runOneTask()
        val lastHeartbeatAt = harness.now
        runSilent(lastHeartbeatAt + 16.seconds, reports = true)
        assertTrue(isOn(machine))
        runSilent(lastHeartbeatAt + 20.seconds, reports = true)
        assertFalse(isOn(machine))
    }

    @Test
    fun `a leader that gets heartbeats but reaches no machine lets another lead`() {
        harness.directCommandOutcome = Outcome.NoResponse
        batch(machines.map { full(machine = it) })
        harness.writeAcceptedJob(plainJob(6).copy(cpus = 10.0))
        repeat(5) {
            peerHeartbeat()
            harness.run(1.seconds)
        }
        assertTrue(harness.storedValue("leader") != null, "abdicated for machines that may be dead")
        batch(machines.map { full(machine = it) })
        harness.run(1.seconds)
        assertEquals(null, harness.storedValue("leader"))
    }

    @Test
    fun `a batch in the key-value store is answered there, one that can't be decoded ignored`() {
        harness.write("r/n2", JsonPrimitive("no such thing"))
        harness.write("r/n3", JsonPrimitive(42))
        val batch = HeartbeatBatch("n1", "b", 9, token, 0, 0, listOf(full()))
        harness.write("r/n1", JsonPrimitive(ForwardingCodec.pack(batch)))
        harness.run(2.seconds)
        val answer =
            ForwardingCodec.decodeStoredResponses(harness.storedValue("a/relays")!!)!!
                .byMember
                .getValue("n1")
        assertEquals(9, answer.number)
        assertTrue(answer.grantDuration > 0)
    }

    /** Store requests of 5 s in which each machine sends an unchanged heartbeat a second. */
    private fun requestsWith(machines: Int): Int {
        val numbers = ArrayList<Long>()
        repeat(machines) {
            batch(listOf(full(machine = "i-%06d".format(1_000 + it))))
            numbers.add(number)
        }
        harness.run(1.seconds)
        harness.storeRequests.clear()
        harness.directCommands.clear()
        repeat(5) {
            val response = batch(unchanged = numbers.flatMap { n -> listOf(n, ++tick) })!!
            assertTrue(response.unknownNumbers.isEmpty() && response.undelivered.isEmpty())
            directHeartbeats()
            peerHeartbeat()
            harness.run(1.seconds)
        }
        assertEquals(emptyList(), harness.directCommands)
        return harness.storeRequests.size
    }

    @Test
    fun `unchanged heartbeats cost the key-value store nothing, however many they are`() {
        val few = requestsWith(20)
        val many = requestsWith(2_000)
        assertTrue(many <= few + 2, "$few requests with 20 machines, $many with 2,000")
    }

    @Test
    fun `a batch that was delayed counts as of when it was sent`() {
        batch(listOf(full()))
        harness.run(1.seconds)
        val old = echo
        // Sent now, and delayed for long.
        val late = HeartbeatBatch("n1", "b", 1, token, old, 0, emptyList(), listOf(number, ++tick))
        repeat(20) {
            directHeartbeats()
            peerHeartbeat()
            harness.run(0.5.seconds)
        }
        send(late)
        repeat(3) {
            directHeartbeats()
            peerHeartbeat()
            harness.run(0.5.seconds)
        }
        val deletions = harness.cloudRequests.filter { it.startsWith("/machines/delete") }
        assertContains(deletions.joinToString(), "i-000001")
    }
}
