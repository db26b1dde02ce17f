package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness

/** Which controllers are ready for users while the key-value store does not answer some or all. */
class ReadinessTest {
    private val harness = ControllerHarness(peers = listOf("n1"))

    private fun ready() = harness.call("GET", "/ready")?.first

    /** Seconds in which the peer says how long ago the key-value store answered it. */
    private fun pass(inSeconds: Int, peerSilenceS: (Int) -> Long) =
        repeat(inSeconds) {
            val heartbeat =
                PeerHeartbeatCodec.encode(
                    PeerHeartbeat("n1", timeSinceStoreResponse = peerSilenceS(it) * 1_000_000)
                )
            harness.call("POST", "/beat", heartbeat, ListenerKind.PEER)
            harness.call("GET", "/submissions/job-000001")
            harness.run(1.seconds)
        }

    @Test
    fun `an idle follower, which hardly asks the key-value store, stays ready`() {
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
    fun `in an outage for all controllers, all stay ready`() {
        harness.run(2.seconds)
        harness.refuse = { true }
        pass(12) { it.toLong() }
        assertEquals(200, ready())
    }

    @Test
    fun `a controller that alone is refused is not ready until it is served again`() {
        harness.run(2.seconds)
        harness.refuse = { true }
        pass(5) { 0 }
        assertEquals(503, ready())
        harness.refuse = { false }
        pass(2) { 0 }
        assertEquals(200, ready())
    }
}
