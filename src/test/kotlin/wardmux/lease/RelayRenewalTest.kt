package wardmux.lease

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import wardmux.core.Port
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.forwarding.UndeliveredCommands
import wardmux.model.TaskAttempt
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.worker.WorkerCommand

/** Which leases a relay renews whose leader, played here, names tasks that have to be halted. */
class RelayRenewalTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<HeartbeatBatch>()
    private val token = 7L
    private val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private val ended = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
    private val fine = """{"piece":"job-000002/0","try":1,"status":"running"}"""
    private val halt = """{"verb":"halt","piece":"job-000001/0","try":1,"letgo_s":0.0}"""

    private var mustHalt: List<CancelledTasks>? =
        listOf(CancelledTasks("i-000001", listOf(TaskAttempt("job-000001/0", 1))))
    private var cancelledJobs = emptyList<String>()
    private var undelivered = emptyList<UndeliveredCommands>()
    private var rejectedMachines = emptyList<String>()

    private fun answer(batch: HeartbeatBatch) =
        HeartbeatBatchResponse(
            "rig",
            batch.number,
            token,
            harness.now.value,
            grantDuration = 5_000_000,
            undelivered = undelivered,
            rejectedMachines = rejectedMachines,
            cancelledJobs = cancelledJobs,
            mustHalt = mustHalt,
        )

    private fun begin() {
        harness.writeLeased("leader", Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""))
        harness.peer = { path, body ->
            val batch =
                if (path == ForwardingCodec.PATH) ForwardingCodec.decodeBatch(body) else null
            batch?.let {
                batches.add(it)
                ForwardingCodec.encode(answer(it))
            }
        }
        harness.run(1.seconds)
        val heartbeat = PeerHeartbeat("n1", token = token, forwardingEnabled = true)
        harness.call("POST", "/beat", PeerHeartbeatCodec.encode(heartbeat), Port.PEER)
        harness.run(1.seconds)
    }

    private fun told() =
        batches.flatMap { batch -> batch.fullHeartbeats.map { it.body.decodeToString() } }

    @Test
    fun `a machine that shows the task is renewed with its halt, and keeps all others`() {
        begin()
        val answer = machine.handleHeartbeat(0, "$running,$fine")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, halt)
        assertFalse("job-000002" in answer)
        // Again until it is gone: the answer may have been lost.
        assertContains(machine.handleHeartbeat(token, "$running,$fine"), halt)
        assertFalse("halt" in machine.handleHeartbeat(token, "$ended,$fine"))
    }

    @Test
    fun `one that does not show it is not renewed, and the leader hears that at once`() {
        begin()
        assertContains(machine.handleHeartbeat(3, fine), "\"baton\":0")
        harness.run(1.seconds)
        assertTrue(told().any { "\"baton\":3" in it }, "the leader was not told: ${told()}")
        // The leader has the proof.
        mustHalt = emptyList()
        harness.run(1.1.seconds)
        assertContains(machine.handleHeartbeat(token, fine), "\"baton\":$token")
    }

    @Test
    fun `a task that ended there needs no halt, as a start of it has no effect`() {
        begin()
        val answer = machine.handleHeartbeat(token, ended)
        assertContains(answer, "\"baton\":$token")
        assertFalse("halt" in answer)
    }

    @Test
    fun `what the leader knows to be cancelled is halted before it has to be`() {
        mustHalt = emptyList()
        cancelledJobs = listOf("job-000001")
        begin()
        val answer = machine.handleHeartbeat(0, "$running,$fine")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, halt)
    }

    @Test
    fun `a cancellation that becomes known halts what an unchanged report goes on showing`() {
        mustHalt = emptyList()
        begin()
        machine.handleHeartbeat(token, running)
        assertFalse("halt" in machine.handleHeartbeat(token, running))
        cancelledJobs = listOf("job-000001")
        harness.run(1.1.seconds)
        assertContains(machine.handleHeartbeat(token, running), halt)
        // Again: the answer may have been lost.
        assertContains(machine.handleHeartbeat(token, running), halt)
    }

    @Test
    fun `an order that the leader left is not repeated beside the halt`() {
        begin()
        machine.handleHeartbeat(token, running)
        undelivered =
            listOf(
                UndeliveredCommands(
                    "i-000001",
                    1,
                    listOf(WorkerCommand.halt("job-000001/0", 1, 0.0)),
                )
            )
        harness.run(1.1.seconds)
        val answer = machine.handleHeartbeat(token, running)
        assertEquals(1, Regex("\"halt\"").findAll(answer).count(), answer)
    }

    @Test
    fun `a machine that is refused for the task alone is heard on`() {
        begin()
        machine.handleHeartbeat(token, fine)
        rejectedMachines = listOf("i-000001")
        harness.run(1.1.seconds)
        assertEquals(200, machine.report(token, fine)?.first)
        // Given up, it is named no more.
        mustHalt = emptyList()
        harness.run(1.1.seconds)
        assertEquals(503, machine.report(token, fine)?.first)
    }

    @Test
    fun `with a leader of an earlier version it halts what it knows itself`() {
        mustHalt = null
        begin()
        assertContains(machine.handleHeartbeat(token, fine), "\"baton\":$token")
    }
}
