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

/**
 * Guards against a forwarder that renews the lease of a machine on which a cancelled task may run
 * on. The leader names such tasks in its responses to the forwarder. The test takes the place of
 * this leader.
 */
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

    /** The leader's response to [batch], from the properties that each test sets. */
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

    /** Starts a leader in place of the peer and lets it ask this controller to forward. */
    private fun startForwarding() {
        harness.writeWithOtherLease(
            "leader",
            Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""),
        )
        harness.peerResponse = { path, body ->
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

    /** The bodies of all heartbeats that were forwarded to the leader in full. */
    private fun forwardedHeartbeats() =
        batches.flatMap { batch -> batch.fullHeartbeats.map { it.body.decodeToString() } }

    @Test
    fun `a machine that lists the cancelled task is renewed with its stop and keeps other tasks`() {
        startForwarding()
        val answer = machine.heartbeatResponse(0, "$runningTask,$uncancelledTask")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, stopCommand)
        assertFalse("job-000002" in answer)
        // The stop is repeated until the task is gone, because the response may have been lost.
        assertContains(
            machine.heartbeatResponse(token, "$runningTask,$uncancelledTask"),
            stopCommand,
        )
        assertFalse("halt" in machine.heartbeatResponse(token, "$endedTask,$uncancelledTask"))
    }

    @Test
    fun `a machine not listing the cancelled task is not renewed and the leader learns at once`() {
        startForwarding()
        assertContains(machine.heartbeatResponse(3, uncancelledTask), "\"baton\":0")
        harness.run(1.seconds)
        assertTrue(
            forwardedHeartbeats().any { "\"baton\":3" in it },
            "expected a heartbeat with token 3 to be forwarded, saw ${forwardedHeartbeats()}",
        )
        // The leader has verified that the task is not on the machine.
        tasksToStop = emptyList()
        harness.run(1.1.seconds)
        assertContains(machine.heartbeatResponse(token, uncancelledTask), "\"baton\":$token")
    }

    @Test
    fun `a cancelled task that is listed as ended needs no stop, as starting it has no effect`() {
        startForwarding()
        val answer = machine.heartbeatResponse(token, endedTask)
        assertContains(answer, "\"baton\":$token")
        assertFalse("halt" in answer)
    }

    @Test
    fun `tasks of jobs that the leader reports as cancelled are stopped before the deadline`() {
        tasksToStop = emptyList()
        cancelledJobs = listOf("job-000001")
        startForwarding()
        val answer = machine.heartbeatResponse(0, "$runningTask,$uncancelledTask")
        assertContains(answer, "\"baton\":$token")
        assertContains(answer, stopCommand)
    }

    @Test
    fun `a new cancellation stops a task that an unchanged heartbeat still lists`() {
        tasksToStop = emptyList()
        startForwarding()
        machine.heartbeatResponse(token, runningTask)
        assertFalse("halt" in machine.heartbeatResponse(token, runningTask))
        cancelledJobs = listOf("job-000001")
        harness.run(1.1.seconds)
        assertContains(machine.heartbeatResponse(token, runningTask), stopCommand)
        // The stop is repeated, because the response may have been lost.
        assertContains(machine.heartbeatResponse(token, runningTask), stopCommand)
    }

    @Test
    fun `an undelivered stop of the leader is not sent in addition to the required stop`() {
        startForwarding()
        machine.heartbeatResponse(token, runningTask)
        undelivered =
            listOf(
                UndeliveredCommands(
                    "i-000001",
                    1,
                    listOf(WorkerCommand.stop("job-000001/0", 1, 0.0)),
                )
            )
        harness.run(1.1.seconds)
        val answer = machine.heartbeatResponse(token, runningTask)
        assertEquals(1, Regex("\"halt\"").findAll(answer).count(), answer)
    }

    @Test
    fun `a machine that is rejected only because of the cancelled task is still answered`() {
        startForwarding()
        machine.heartbeatResponse(token, uncancelledTask)
        rejectedMachines = listOf("i-000001")
        harness.run(1.1.seconds)
        assertEquals(200, machine.sendHeartbeat(token, uncancelledTask)?.first)
        // The leader no longer names the tasks of a decommissioned machine, which is rejected.
        tasksToStop = emptyList()
        harness.run(1.1.seconds)
        assertEquals(503, machine.sendHeartbeat(token, uncancelledTask)?.first)
    }

    @Test
    fun `with a leader of an earlier version the forwarder relies on its own cancellations`() {
        tasksToStop = null
        startForwarding()
        assertContains(machine.heartbeatResponse(token, uncancelledTask), "\"baton\":$token")
    }
}
