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

/**
 * Guards against a leader that goes on renewing leases although it may not know a cancellation that
 * a user was told of, for example in an outage of the key-value store. Such a leader would keep the
 * tasks of the cancelled job running.
 */
class CancellationTrackerTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private var peerHeartbeatCount = 0

    /** Lets the peer's process report from now on that it acknowledged cancellations of [jobs]. */
    private fun setPeerAcknowledgements(
        vararg jobs: String,
        incarnation: String = "b",
        uptimeS: Long = 1_000,
    ) {
        harness.peerResponse = { path, _ ->
            if (path != PeerHeartbeats.PATH) null
            else {
                peerHeartbeatCount++
                PeerHeartbeatCodec.encode(
                    CancellationUpdate(incarnation, uptimeS * 1_000_000, 0, jobs.toList())
                )
            }
        }
    }

    /** Lets this controller lead and start the task of a job, and returns its fencing token. */
    private fun becomeLeader(): Long {
        harness.writeAcceptedJob(plainJob(1))
        harness.run(3.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        return token
    }

    /**
     * For each of [seconds] seconds, whether a heartbeat in it renewed the lease. A response
     * without the leader's token renews nothing.
     */
    private fun renewedEachSecond(token: Long, seconds: Int): List<Boolean> =
        List(seconds) {
            harness.run(1.seconds)
            val answer = machine.sendHeartbeat(token, runningTask)
            answer?.first == 200 && "\"baton\":$token" in answer.second
        }

    @Test
    fun `a leader that all peers answer renews leases in an outage of any length`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.startStoreOutage()
        val renewed = renewedEachSecond(token, 60)
        assertTrue(
            renewed.count { !it } <= 8,
            "expected at most one redirect in half a lease, else renewals: $renewed",
        )
        assertTrue(peerHeartbeatCount > 40, "expected over 40 peer heartbeats: $peerHeartbeatCount")
    }

    @Test
    fun `a leader that no peer answers stops renewing in time after the last answer`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.startStoreOutage()
        harness.peerResponse = { _, _ -> null }
        // All tasks have to be gone 36 s after a cancellation. Renewals have to stop earlier by a
        // lease of 16 s and a forwarder's grant.
        val renewed = renewedEachSecond(token, 40)
        assertTrue(renewed.take(8).any { it }, "expected renewals in the first 8 s: $renewed")
        assertFalse(renewed.drop(15).any { it }, "expected no renewals after 15 s: $renewed")
    }

    @Test
    fun `a leader whose peer restarted without its acknowledgements stops renewing too`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.startStoreOutage()
        setPeerAcknowledgements(incarnation = "c", uptimeS = 0)
        assertFalse(renewedEachSecond(token, 40).drop(15).any { it })
        // The store contains the cancellations that the former process acknowledged.
        harness.endStoreOutage()
        harness.run(3.seconds)
        assertTrue(renewedEachSecond(token, 3).any { it })
    }

    @Test
    fun `a cancellation that a peer acknowledged stops the task in an outage of the store`() {
        setPeerAcknowledgements()
        val token = becomeLeader()
        harness.startStoreOutage()
        harness.run(5.seconds)
        setPeerAcknowledgements("job-000001")
        harness.run(2.seconds)
        val answers = List(4) { machine.sendHeartbeat(token, runningTask)?.second.orEmpty() }
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
            PeerHeartbeatCodec.decodeUpdate(harness.responseBodyOf(harness.lastRequestId))!!
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
        // The retention has passed, so no peer needs the cancellation any more.
        harness.run(60.seconds)
        assertEquals(emptyList(), sendHeartbeat(emptyList()).jobs)
    }

    /** A tracker with one peer, whose clock and peer updates the test sets. */
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
    fun `a cancellation counts from when all earlier cancellations were last known`() =
        TrackerHarness().run {
            cancellations.recordStoreRead(asOf = 90.seconds)
            setTime(120)
            observe()
            assertEquals(90.seconds, acknowledgedSince())
            cancellations.recordStoreRead(asOf = 119.seconds)
            setTime(130)
            // Observing the cancellation again or reading it from the store changes no time.
            observe()
            observeStored()
            assertEquals(90.seconds, acknowledgedSince())
        }

    @Test
    fun `a cancellation that is read from the store counts from the earliest possible time`() =
        TrackerHarness().run {
            cancellations.recordStoreRead(asOf = 119.seconds)
            setTime(120)
            observeStored()
            assertEquals(Micros.LONG_AGO, acknowledgedSince())
        }

    @Test
    fun `a cancellation that a peer reports counts from when all peers had last answered`() =
        TrackerHarness().run {
            // What former processes acknowledged is not known.
            cancellations.recordStoreRead(asOf = 100.seconds)
            cancellations.tick()
            setTime(101)
            applyPeerUpdate(emptyList())
            setTime(150)
            applyPeerUpdate(listOf("job-000001"))
            assertEquals(101.seconds, acknowledgedSince())
        }
}
