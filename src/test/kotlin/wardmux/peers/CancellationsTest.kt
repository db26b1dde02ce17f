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

/** Who knows what users were told to be cancelled, and what a leader does that may not know it. */
class CancellationsTest {
    private val harness = ControllerHarness(peers = listOf("n1"))
    private val machine = ManualWorker(harness, "i-000001")
    private val running = """{"piece":"job-000001/0","try":1,"status":"running"}"""
    private var heartbeats = 0

    private fun siblingTells(vararg jobs: String, boot: String = "b", upS: Long = 1_000) {
        harness.peer = { path, _ ->
            if (path != PeerHeartbeats.PATH) null
            else {
                heartbeats++
                PeerHeartbeatCodec.encode(
                    CancellationUpdate(boot, upS * 1_000_000, 0, jobs.toList())
                )
            }
        }
    }

    private fun leads(): Long {
        harness.accept(plainJob(1))
        harness.run(3.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        return token
    }

    /** Renewed in each of so many seconds: an answer under no token renews nothing. */
    private fun renewals(token: Long, inSeconds: Int): List<Boolean> =
        List(inSeconds) {
            harness.run(1.seconds)
            val answer = machine.report(token, running)
            answer?.first == 200 && "\"baton\":$token" in answer.second
        }

    @Test
    fun `a leader that hears all siblings keeps leases alive in an outage of any length`() {
        siblingTells()
        val token = leads()
        harness.outage()
        val renewed = renewals(token, 60)
        assertTrue(
            renewed.count { !it } <= 8,
            "sent on once in half a lease, else renewed: $renewed",
        )
        assertTrue(heartbeats > 40)
    }

    @Test
    fun `one that does not hear them stops in time, counted from when it last asked`() {
        siblingTells()
        val token = leads()
        harness.outage()
        harness.peer = { _, _ -> null }
        // Cancelled 36 s before, all must be gone: a lease of 16 s and a relay's grant go off that.
        val renewed = renewals(token, 40)
        assertTrue(renewed.take(8).any { it }, "$renewed")
        assertFalse(renewed.drop(15).any { it }, "$renewed")
    }

    @Test
    fun `nor does one whose sibling was replaced by a process that knows nothing of the last`() {
        siblingTells()
        val token = leads()
        harness.outage()
        siblingTells(boot = "c", upS = 0)
        assertFalse(renewals(token, 40).drop(15).any { it })
        // The state service shows what the process before has told.
        harness.outageOver()
        harness.run(3.seconds)
        assertTrue(renewals(token, 3).any { it })
    }

    @Test
    fun `what a sibling has told a user is taken down while the state service is away`() {
        siblingTells()
        val token = leads()
        harness.outage()
        harness.run(5.seconds)
        siblingTells("job-000001")
        harness.run(2.seconds)
        val answers = List(4) { machine.report(token, running)?.second.orEmpty() }
        assertContains(answers.joinToString(), "\"verb\":\"halt\"")
    }

    @Test
    fun `what this controller tells a user it tells its siblings, each once`() {
        siblingTells()
        leads()
        val heartbeat = { heard: List<CancellationCursor> ->
            harness.call(
                "POST",
                "/beat",
                PeerHeartbeatCodec.encode(PeerHeartbeat("n1", heard = heard)),
                ListenerKind.PEER,
            )
            PeerHeartbeatCodec.told(harness.bytesOf(harness.lastCall))!!
        }
        assertEquals(emptyList(), heartbeat(emptyList()).jobs)
        assertEquals(200, harness.call("POST", "/submissions/job-000001/abort")?.first)
        val told = heartbeat(emptyList())
        assertEquals(listOf("job-000001"), told.jobs)
        assertEquals(emptyList(), heartbeat(listOf(CancellationCursor("n0", told.boot, 1))).jobs)
        assertEquals(
            1,
            heartbeat(listOf(CancellationCursor("n0", "a former process", 1))).jobs.size,
        )
        // Of no use to anybody any more.
        harness.run(60.seconds)
        assertEquals(emptyList(), heartbeat(emptyList()).jobs)
    }

    private class Known {
        val context = CoreContext().also { it.setTime(100.seconds, 100.seconds) }
        private val store = KeyValueStore(context, StoreLimits(900.0, 900.0, 8.0, 8), 2)
        val cancellations = Cancellations(context, store, "own", listOf("n1"), 60.seconds) {}
        private val job = JobId("job-000001")

        fun at(second: Int) = context.setTime(second.seconds, second.seconds)

        fun toldBy(peer: List<String>) =
            cancellations.accept("n1", CancellationUpdate("b", 1_000_000_000, 0, peer), context.now)

        fun since() = cancellations.toldSince(job)

        fun learnStored() = cancellations.learnStored(job)

        fun learn() = cancellations.learn(job)
    }

    @Test
    fun `a cancellation counts from when it was last known that there was none`() =
        Known().run {
            cancellations.shown(90.seconds)
            at(120)
            learn()
            assertEquals(90.seconds, since())
            cancellations.shown(119.seconds)
            at(130)
            // Told once more, and read from what is stored: no later for that.
            learn()
            learnStored()
            assertEquals(90.seconds, since())
        }

    @Test
    fun `one that is read from what is stored counts from as long ago as can be`() =
        Known().run {
            cancellations.shown(119.seconds)
            at(120)
            learnStored()
            assertEquals(Micros.LONG_AGO, since())
        }

    @Test
    fun `one that a sibling tells counts from when all were last heard`() =
        Known().run {
            // Nothing is known of what former processes told.
            cancellations.shown(100.seconds)
            cancellations.tick()
            at(101)
            toldBy(emptyList())
            at(150)
            toldBy(listOf("job-000001"))
            assertEquals(101.seconds, since())
        }
}
