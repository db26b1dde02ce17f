package wardmux.peers

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.ListenerKind
import wardmux.model.JobId
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob
import wardmux.store.KeyValueStore

/** Who knows which cancellations users were told of, and what a leader does that may not know. */
class CancellationTrackerTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private var peerHeartbeatCount = 0

    private fun setPeerAcknowledgements(
        vararg jobs: String,
        incarnation: String = "b",
        uptimeS: Long = 1_000,
    ) {
        harness.peer = { path, _ ->
            if (path != PeerHeartbeats.PATH) null
            else {
                peerHeartbeatCount++
                PeerHeartbeatCodec.encode(
                    CancellationUpdate(incarnation, uptimeS * 1_000_000, 0, jobs.toList())
                )
            }
        }
    }

    private fun becomeLeader(): Long {
        harness.accept(plainJob(1))
        harness.run(3.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        return token
    }

    /** Renewed in each of so many seconds: an answer under no token renews nothing. */
    private fun renewedEachSecond(token: Long, seconds: Int): List<Boolean> =
        List(seconds) {
            harness.run(1.seconds)
            val answer = machine.report(token, runningTask)
            answer?.first == 200 && "\"baton\":$token" in answer.second
        }

    @Test
    fun `a leader that all peers answer renews leases in an outage of any length`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.outage()
        val renewed = renewedEachSecond(token, 60)
        assertTrue(
            renewed.count { !it } <= 8,
            "redirected once in half a lease, else renewed: $renewed",
        )
        assertTrue(peerHeartbeatCount > 40)
    }

    @Test
    fun `one that they do not answer stops in time, counted from its last heartbeat`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.outage()
        harness.peer = { _, _ -> null }
        // Cancelled 36 s before, all must be gone: minus a lease of 16 s and a forwarder's grant.
        val renewed = renewedEachSecond(token, 40)
        assertTrue(renewed.take(8).any { it }, "$renewed")
        assertFalse(renewed.drop(15).any { it }, "$renewed")
    }

    @Test
    fun `one whose peer was replaced by a process that knows nothing of the last stops too`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.outage()
        setPeerAcknowledgements(incarnation = "c", uptimeS = 0)
        assertFalse(renewedEachSecond(token, 40).drop(15).any { it })
        // The store shows what the process before has acknowledged.
        harness.outageOver()
        harness.run(3.seconds)
        assertTrue(renewedEachSecond(token, 3).any { it })
    }

    @Test
    fun `a cancellation that a peer acknowledged is enforced in an outage of the store`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.outage()
        harness.run(5.seconds)
        setPeerAcknowledgements("job-000001")
        harness.run(2.seconds)
        val answers = List(4) { machine.report(token, runningTask)?.second.orEmpty() }
        assertContains(answers.joinToString(), "\"verb\":\"halt\"")
    }

    @Test
    fun `a cancellation that this controller acknowledged is sent to each peer once`() {
        setPeerAcknowledgements()
        becomeLeader()
        val sendHeartbeat = { cursors: List<CancellationCursor> ->
            harness.call(
                "POST",
                "/beat",
                PeerHeartbeatCodec.encode(PeerHeartbeat("n1", cancellationCursors = cursors)),
                ListenerKind.PEER,
            )
            PeerHeartbeatCodec.decodeUpdate(harness.bytesOf(harness.lastCall))!!
        }
        assertEquals(emptyList(), sendHeartbeat(emptyList()).jobs)
        assertEquals(200, harness.call("POST", "/submissions/job-000001/abort")?.first)
        val update = sendHeartbeat(emptyList())
        assertEquals(listOf("job-000001"), update.jobs)
        assertEquals(
            emptyList(),
            sendHeartbeat(listOf(CancellationCursor("n0", update.processIncarnation, 1))).jobs,
        )
        assertEquals(
            1,
            sendHeartbeat(listOf(CancellationCursor("n0", "a former process", 1))).jobs.size,
        )
        // Of no use to anybody any more.
        harness.run(60.seconds)
        assertEquals(emptyList(), sendHeartbeat(emptyList()).jobs)
    }

    private class TrackerHarness {
        val context = CoreContext().also { it.setTime(100.seconds, 100.seconds) }
        private val store = KeyValueStore(context, StoreLimits(900.0, 900.0, 8.0, 8), 2)
        val cancellations = CancellationTracker(context, store, "own", listOf("n1"), 60.seconds) {}
        private val job = JobId("job-000001")

        fun setTime(second: Int) = context.setTime(second.seconds, second.seconds)

        fun applyPeerUpdate(jobs: List<String>) =
            cancellations.applyUpdate(
                "n1",
                CancellationUpdate("b", 1_000_000_000, 0, jobs),
                context.now,
            )

        fun acknowledgedSince() = cancellations.acknowledgedSince(job)

        fun observeStored() = cancellations.observeStored(job)

        fun observe() = cancellations.observe(job)
    }

    @Test
    fun `a cancellation counts from when it was last known that there was none`() =
        TrackerHarness().run {
            cancellations.recordStoreRead(asOf = 90.seconds)
            setTime(120)
            observe()
            assertEquals(90.seconds, acknowledgedSince())
            cancellations.recordStoreRead(asOf = 119.seconds)
            setTime(130)
            // Observed once more, and read from the store: no later for that.
            observe()
            observeStored()
            assertEquals(90.seconds, acknowledgedSince())
        }

    @Test
    fun `one that is read from what is stored counts from as long ago as can be`() =
        TrackerHarness().run {
            cancellations.recordStoreRead(asOf = 119.seconds)
            setTime(120)
            observeStored()
            assertEquals(Micros.LONG_AGO, acknowledgedSince())
        }

    @Test
    fun `one that a peer reports counts from when all peers had last answered`() =
        TrackerHarness().run {
            // Nothing is known of what former processes acknowledged.
            cancellations.recordStoreRead(asOf = 100.seconds)
            cancellations.tick()
            setTime(101)
            applyPeerUpdate(emptyList())
            setTime(150)
            applyPeerUpdate(listOf("job-000001"))
            assertEquals(101.seconds, acknowledgedSince())
        }
}
