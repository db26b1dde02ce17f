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

/**
 * Tests heartbeat forwarding on the leader, with batches sent by hand as from the follower n1.
 * Guards against acting twice or wrongly on forwarded heartbeats that are delayed or duplicated,
 * and against treating a machine's lease as expired while a follower may still have renewed it.
 */
class ForwardingCoordinatorTest {
    private val harness = ControllerHarness(listOf("n1"), forwardingSettings())
    private val directMachines = List(8) { ManualWorker(harness, "i-00001$it") }
    private var token = 0L
    private var echoedClock = 0L
    private var echoedAt = 0L
    private var lastNumber = 0L
    private var lastTick = 0L

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

    private fun sendBatch(
        fullHeartbeats: List<FullHeartbeat> = emptyList(),
        unchanged: List<Long> = emptyList(),
        echoedClock: Long = this.echoedClock,
        processIncarnation: String = "b",
    ): HeartbeatBatchResponse? {
        val since = harness.now.value - echoedAt
        val response =
            send(
                HeartbeatBatch(
                    "n1",
                    processIncarnation,
                    1,
                    token,
                    echoedClock,
                    since,
                    fullHeartbeats,
                    unchanged,
                )
            )
        if (response != null) {
            this.echoedClock = response.leaderClock
            echoedAt = harness.now.value
        }
        return response
    }

    private fun fullHeartbeat(tasks: String = "", machine: String = "i-000001"): FullHeartbeat {
        val body =
            """{"box":"$machine","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","loaners":""" +
                """false,"shift":1,"tick":${++lastTick},"baton":$token,"pieces":[$tasks]}"""
        return FullHeartbeat(++lastNumber, body.encodeToByteArray())
    }

    private fun sendDirectHeartbeats() = directMachines.forEach { it.sendHeartbeat(token) }

    private fun sendPeerHeartbeat() =
        harness.call(
            "POST",
            "/beat",
            PeerHeartbeatCodec.encode(PeerHeartbeat("n1")),
            ListenerKind.PEER,
        )

    private fun countStartCommands(task: String) =
        harness.directCommands.count { "\"start\"" in it && task in it }

    @Test
    fun `start commands for a forwarded machine are sent once, and only directly`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.directCommandOutcome = Outcome.NoResponse
        val undelivered = ArrayList<UndeliveredCommands>()
        undelivered += sendBatch(listOf(fullHeartbeat()))!!.undelivered
        repeat(6) {
            undelivered += sendBatch(unchanged = listOf(lastNumber, ++lastTick))!!.undelivered
            harness.run(1.seconds)
        }
        assertEquals(1, countStartCommands("job-000001/0"))
        // A start command without a response may still be executed, so it must not be sent to the
        // machine in a second way.
        assertTrue(undelivered.flatMap { it.commands }.none { it.typeName == "start" })
    }

    @Test
    fun `a recorded ended task gets a forget command even if the heartbeat is unchanged`() {
        harness.writeAcceptedJob(plainJob(1))
        sendBatch(listOf(fullHeartbeat()))
        harness.run(1.seconds)
        val endedTask = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"done"}"""
        sendBatch(listOf(fullHeartbeat(endedTask)))
        harness.run(2.seconds)
        val response = sendBatch(unchanged = listOf(lastNumber, ++lastTick))!!
        assertEquals("forget", response.undelivered.single().commands.single().typeName)
    }

    @Test
    fun `unknown numbers are requested, and delayed or invalid batches have no effect`() {
        val firstHeartbeat = fullHeartbeat()
        sendBatch(listOf(firstHeartbeat))
        assertEquals(listOf(77L), sendBatch(unchanged = listOf(77, 3))!!.unknownNumbers)
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        sendBatch(listOf(fullHeartbeat(runningTask)))
        // A delayed copy of the first heartbeat, which lists no task, must neither end the running
        // task nor bring an earlier one back.
        sendBatch(listOf(firstHeartbeat))
        harness.run(1.seconds)
        assertEquals(null, send(HeartbeatBatch("n1", "b", 1, token - 1, 0, 0)))
        assertEquals(
            400,
            harness.call("POST", "/relay", ByteArray(9) { -1 }, ListenerKind.PEER)?.first,
        )
    }

    private val forwardedMachines = List(6) { "i-00000${it + 1}" }

    /**
     * Runs a job with one task on one of the forwarded machines and returns that machine. There are
     * enough forwarded machines that the leader does not decommission them early when all of them
     * are silent.
     */
    private fun runTaskOnForwardedMachine(): String {
        val idleHeartbeats = forwardedMachines.map { fullHeartbeat(machine = it) }
        sendBatch(idleHeartbeats)
        harness.writeAcceptedJob(plainJob(1))
        harness.run(1.seconds)
        val machine = forwardedMachines.first { isTaskAssignedTo(it) }
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        sendBatch(
            forwardedMachines.map { fullHeartbeat(if (it == machine) runningTask else "", it) }
        )
        return machine
    }

    private fun isTaskAssignedTo(machine: String) =
        machine in harness.storedValue("t/job-000001/0").toString()

    /**
     * Whether the leader takes the lease of [machine] as expired: it has decommissioned the machine
     * for that reason. The machine may hang, so its task stays on it until it is deleted, which the
     * cloud never confirms here.
     */
    private fun isLeaseExpired(machine: String): Boolean {
        assertTrue(isTaskAssignedTo(machine), "the task of $machine is released, but may run there")
        return harness.storedValue("m/$machine") == JsonPrimitive("lease over")
    }

    /**
     * Advances to [until] while the forwarded machines send no heartbeat. If [forwarderReports] is
     * true, the forwarder sends batches without heartbeats, which say that it has answered none.
     */
    private fun runWithSilentMachines(
        until: Micros,
        processIncarnation: String = "b",
        forwarderReports: Boolean,
    ) {
        while (harness.now < until) {
            if (forwarderReports) sendBatch(processIncarnation = processIncarnation)
            sendPeerHeartbeat()
            sendDirectHeartbeats()
            harness.run(0.5.seconds)
        }
    }

    @Test
    fun `a lease does not expire while a silent or restarted forwarder may have renewed it`() {
        val machine = runTaskOnForwardedMachine()
        val lastHeartbeatAt = harness.now
        // The forwarder stops sending batches while its grant is valid, so it may have renewed the
        // lease since its last batch.
        runWithSilentMachines(lastHeartbeatAt + 17.seconds, forwarderReports = false)
        // The restarted process does not know which heartbeats the previous process answered.
        echoedClock = 0
        runWithSilentMachines(
            lastHeartbeatAt + 20.seconds,
            processIncarnation = "c",
            forwarderReports = true,
        )
        assertFalse(
            isLeaseExpired(machine),
            "the lease of $machine expired while the forwarder may have renewed it",
        )
        runWithSilentMachines(
            lastHeartbeatAt + 26.seconds,
            processIncarnation = "c",
            forwarderReports = true,
        )
        assertTrue(
            isLeaseExpired(machine),
            "the lease of $machine has not expired after the grant ended",
        )
    }

    @Test
    fun `a lease expires without delay if the forwarder has reported all heartbeats it answered`() {
        val machine = runTaskOnForwardedMachine()
        val lastHeartbeatAt = harness.now
        runWithSilentMachines(lastHeartbeatAt + 16.seconds, forwarderReports = true)
        assertFalse(isLeaseExpired(machine))
        runWithSilentMachines(lastHeartbeatAt + 20.seconds, forwarderReports = true)
        assertTrue(isLeaseExpired(machine))
    }

    @Test
    fun `a leader that gets forwarded heartbeats but can't reach the machines abdicates`() {
        harness.directCommandOutcome = Outcome.NoResponse
        sendBatch(forwardedMachines.map { fullHeartbeat(machine = it) })
        harness.writeAcceptedJob(plainJob(6).copy(cpus = 10.0))
        repeat(5) {
            sendPeerHeartbeat()
            harness.run(1.seconds)
        }
        assertTrue(
            harness.storedValue("leader") != null,
            "the leader abdicated because of machines that may have failed themselves",
        )
        sendBatch(forwardedMachines.map { fullHeartbeat(machine = it) })
        harness.run(1.seconds)
        assertEquals(null, harness.storedValue("leader"))
    }

    @Test
    fun `a stored batch gets a stored response, and one that can't be decoded is ignored`() {
        harness.write("r/n2", JsonPrimitive("no such thing"))
        harness.write("r/n3", JsonPrimitive(42))
        val batch = HeartbeatBatch("n1", "b", 9, token, 0, 0, listOf(fullHeartbeat()))
        harness.write("r/n1", JsonPrimitive(ForwardingCodec.pack(batch)))
        harness.run(2.seconds)
        val answer =
            ForwardingCodec.decodeStoredResponses(harness.storedValue("a/relays")!!)!!
                .byMember
                .getValue("n1")
        assertEquals(9, answer.number)
        assertTrue(answer.grantDuration > 0)
    }

    /**
     * Returns the number of store requests in 5 s during which each of [machines] machines sends
     * one unchanged heartbeat per second through the follower.
     */
    private fun countStoreRequestsWith(machines: Int): Int {
        val numbers = ArrayList<Long>()
        repeat(machines) {
            sendBatch(listOf(fullHeartbeat(machine = "i-%06d".format(1_000 + it))))
            numbers.add(lastNumber)
        }
        harness.run(1.seconds)
        harness.storeRequests.clear()
        harness.directCommands.clear()
        repeat(5) {
            val response = sendBatch(unchanged = numbers.flatMap { n -> listOf(n, ++lastTick) })!!
            assertTrue(response.unknownNumbers.isEmpty() && response.undelivered.isEmpty())
            sendDirectHeartbeats()
            sendPeerHeartbeat()
            harness.run(1.seconds)
        }
        assertEquals(emptyList(), harness.directCommands)
        return harness.storeRequests.size
    }

    @Test
    fun `the number of unchanged heartbeats does not affect the number of store requests`() {
        val requestsForFew = countStoreRequestsWith(20)
        val requestsForMany = countStoreRequestsWith(2_000)
        assertTrue(
            requestsForMany <= requestsForFew + 2,
            "expected at most 2 more store requests with 2,000 machines than with 20, got " +
                "$requestsForMany and $requestsForFew",
        )
    }

    @Test
    fun `a delayed batch counts as received when it was sent, so its machine is decommissioned`() {
        sendBatch(listOf(fullHeartbeat()))
        harness.run(1.seconds)
        val oldClock = echoedClock
        // This batch is created now and delivered 10 s later.
        val delayedBatch =
            HeartbeatBatch(
                "n1",
                "b",
                1,
                token,
                oldClock,
                0,
                emptyList(),
                listOf(lastNumber, ++lastTick),
            )
        repeat(20) {
            sendDirectHeartbeats()
            sendPeerHeartbeat()
            harness.run(0.5.seconds)
        }
        send(delayedBatch)
        repeat(3) {
            sendDirectHeartbeats()
            sendPeerHeartbeat()
            harness.run(0.5.seconds)
        }
        val deletions = harness.cloudRequests.filter { it.startsWith("/machines/delete") }
        assertContains(deletions.joinToString(), "i-000001")
    }
}
