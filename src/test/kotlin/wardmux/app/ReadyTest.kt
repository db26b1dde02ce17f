package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness

/** Which controllers users are sent to when the state service is in trouble, and for whom. */
class ReadyTest {
    private val harness = ControllerHarness(peers = listOf("n1"))

    private fun ready() = harness.call("GET", "/ready")?.first

    /** Seconds in which the sibling says how long ago the state service answered it. */
    private fun pass(inSeconds: Int, siblingsSilence: (Int) -> Long) =
        repeat(inSeconds) {
            val heartbeat =
                PeerHeartbeatCodec.encode(
                    PeerHeartbeat("n1", stateSilence = siblingsSilence(it) * 1_000_000)
                )
            harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)
            harness.call("GET", "/submissions/job-000001")
            harness.run(1.seconds)
        }

    @Test
    fun `a quiet follower, which asks the state service next to nothing, stays ready`() {
        harness.writeLeased("leader", Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""))
        harness.run(2.seconds)
        repeat(20) {
            harness.call(
                "POST",
                "/beat",
                PeerHeartbeatCodec.encode(PeerHeartbeat("n1")),
                ListenerKind.PEER,
            )
            harness.run(1.seconds)
            assertEquals(200, ready())
        }
    }

    @Test
    fun `in an outage for all, all stay ready`() {
        harness.run(2.seconds)
        harness.refuse = { true }
        pass(12) { it.toLong() }
        assertEquals(200, ready())
    }

    @Test
    fun `one that alone is refused is not ready until it is served again`() {
        harness.run(2.seconds)
        harness.refuse = { true }
        pass(5) { 0 }
        assertEquals(503, ready())
        harness.refuse = { false }
        pass(2) { 0 }
        assertEquals(200, ready())
    }
}
