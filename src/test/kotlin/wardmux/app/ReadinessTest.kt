package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.sim.ControllerHarness

/**
 * Guards against a wrong answer of `/ready` in an outage of the key-value store. If the store fails
 * for all controllers, none may report that it is not ready, since users could turn to no other. If
 * it fails for one controller only, that one must not be ready, so that users turn to the others.
 */
class ReadinessTest {
    private val harness = ControllerHarness(peers = listOf("n1"))

    private fun readyStatus() = harness.call("GET", "/ready")?.first

    /**
     * Runs the controller for [inSeconds]. In each second, which [peerSilenceS] gets as its index,
     * the peer reports for how many seconds the key-value store has not answered it.
     */
    private fun runWithPeer(inSeconds: Int, peerSilenceS: (Int) -> Long) =
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
    fun `an idle follower that sends few requests to the key-value store stays ready`() {
        harness.writeWithOtherLease(
            "leader",
            Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""),
        )
        harness.run(2.seconds)
        repeat(20) {
            harness.call(
                "POST",
                "/beat",
                PeerHeartbeatCodec.encode(PeerHeartbeat("n1")),
                ListenerKind.PEER,
            )
            harness.run(1.seconds)
            assertEquals(200, readyStatus())
        }
    }

    @Test
    fun `a controller stays ready in an outage that affects all controllers`() {
        harness.run(2.seconds)
        harness.refusesStoreRequest = { true }
        runWithPeer(12) { it.toLong() }
        assertEquals(200, readyStatus())
    }

    @Test
    fun `a controller that alone gets no answer from the store is not ready until it gets one`() {
        harness.run(2.seconds)
        harness.refusesStoreRequest = { true }
        runWithPeer(5) { 0 }
        assertEquals(503, readyStatus())
        harness.refusesStoreRequest = { false }
        runWithPeer(2) { 0 }
        assertEquals(200, readyStatus())
    }
}
