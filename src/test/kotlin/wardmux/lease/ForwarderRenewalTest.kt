package wardmux.lease

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
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

/** Which leases a forwarder renews whose leader, played here, names tasks that it has to stop. */
class ForwarderRenewalTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val batches = ArrayList<HeartbeatBatch>()
    private val token = 7L
    private val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private val endedTask =
        """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
    private val uncancelledTask = """{"piece":"job-000002/0","try":1,"status":"running"}"""
    private val stopCommand = """{"verb":"halt","piece":"job-000001/0","try":1,"letgo_s":0.0}"""

    private var tasksToStop: List<CancelledTasks>? =
        listOf(CancelledTasks("i-000001", listOf(TaskAttempt("job-000001/0", 1))))
    private var cancelledJobs = emptyList<String>()
    private var undelivered = emptyList<UndeliveredCommands>()
    private var rejectedMachines = emptyList<String>()

    private fun responseTo(batch: HeartbeatBatch) =
        HeartbeatBatchResponse(
            "rig",
            batch.number,
            token,
            harness.now.value,
            grantDuration = 5_000_000,
            undelivered = undelivered,
            rejectedMachines = rejectedMachines,
            cancelledJobs = cancelledJobs,
            mustHalt = tasksToStop,
        )

    private fun startForwarding() {
        harness.writeLeased("leader", Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""))
        harness.peer = { path, body ->
            val batch =
                if (path == ForwardingCodec.PATH) ForwardingCodec.decodeBatch(body) else null
            batch?.let {
                batches.add(it)
                ForwardingCodec.encode(responseTo(it))
            }
        }
        harness.run(1.seconds)
        val heartbeat = PeerHeartbeat("n1", token = token, forwardingEnabled = true)
        harness.call("POST", "/beat", PeerHeartbeatCodec.encode(heartbeat), ListenerKind.PEER)
        harness.run(1.seconds)
    }

    private fun forwardedHeartbeats() =
        batches.flatMap { batch -> batch.fullHeartbeats.map { it.body.decodeToString() } }

    @Test
    fun `a machine that lists the task is renewed with its stop, and keeps all others`() {
        startForwarding()
        val answer = machine.handleHeartbeat(0, "$runningTask,$uncancelledTask")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, stopCommand)
        assertFalse("job-000002" in answer)
        // Again until it is gone: the response may have been lost.
        assertContains(machine.handleHeartbeat(token, "$runningTask,$uncancelledTask"), stopCommand)
        assertFalse("halt" in machine.handleHeartbeat(token, "$endedTask,$uncancelledTask"))
    }

    @Test
    fun `one that does not list it is not renewed, and the leader is told at once`() {
        startForwarding()
        assertContains(machine.handleHeartbeat(3, uncancelledTask), "\"baton\":0")
        harness.run(1.seconds)
        assertTrue(
            forwardedHeartbeats().any { "\"baton\":3" in it },
            "the leader was not told: ${forwardedHeartbeats()}",
        )
        // The leader has verified that the task is not there.
        tasksToStop = emptyList()
        harness.run(1.1.seconds)
        assertContains(machine.handleHeartbeat(token, uncancelledTask), "\"baton\":$token")
    }

    @Test
    fun `a task that ended there needs no stop, as a start of it has no effect`() {
        startForwarding()
        val answer = machine.handleHeartbeat(token, endedTask)
        assertContains(answer, "\"baton\":$token")
        assertFalse("halt" in answer)
    }

    @Test
    fun `what the leader knows to be cancelled is stopped before it has to be`() {
        tasksToStop = emptyList()
        cancelledJobs = listOf("job-000001")
        startForwarding()
        val answer = machine.handleHeartbeat(0, "$runningTask,$uncancelledTask")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, stopCommand)
    }

    @Test
    fun `a cancellation that becomes known stops what an unchanged heartbeat goes on listing`() {
        tasksToStop = emptyList()
        startForwarding()
        machine.handleHeartbeat(token, runningTask)
        assertFalse("halt" in machine.handleHeartbeat(token, runningTask))
        cancelledJobs = listOf("job-000001")
        harness.run(1.1.seconds)
        assertContains(machine.handleHeartbeat(token, runningTask), stopCommand)
        // Again: the response may have been lost.
        assertContains(machine.handleHeartbeat(token, runningTask), stopCommand)
    }

    @Test
    fun `an undelivered command of the leader is not repeated beside the stop`() {
        startForwarding()
        machine.handleHeartbeat(token, runningTask)
        undelivered =
            listOf(
                UndeliveredCommands(
                    "i-000001",
                    1,
                    listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)),
                )
            )
        harness.run(1.1.seconds)
        val answer = machine.handleHeartbeat(token, runningTask)
        assertEquals(1, Regex("\"halt\"").findAll(answer).count(), answer)
    }

    @Test
    fun `a machine that is refused for the task alone is still answered`() {
        startForwarding()
        machine.handleHeartbeat(token, uncancelledTask)
        rejectedMachines = listOf("i-000001")
        harness.run(1.1.seconds)
        assertEquals(200, machine.report(token, uncancelledTask)?.first)
        // Once decommissioned it is not named any more.
        tasksToStop = emptyList()
        harness.run(1.1.seconds)
        assertEquals(503, machine.report(token, uncancelledTask)?.first)
    }

    @Test
    fun `with a leader of an earlier version it stops what it knows itself`() {
        tasksToStop = null
        startForwarding()
        assertContains(machine.handleHeartbeat(token, uncancelledTask), "\"baton\":$token")
    }
}
