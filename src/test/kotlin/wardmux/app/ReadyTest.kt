package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import wardmux.Port
import wardmux.peers.Beat
import wardmux.peers.BeatCodec
import wardmux.secs
import wardmux.sim.Rig

/** Which controllers users are sent to when the state service is in trouble, and for whom. */
class ReadyTest {
    private val rig = Rig(siblings = listOf("n1"))

    private fun ready() = rig.call("GET", "/ready")?.first

    /** Seconds in which the sibling says how long ago the state service answered it. */
    private fun pass(seconds: Int, siblingsSilence: (Int) -> Long) =
        repeat(seconds) {
            val beat = BeatCodec.encode(Beat("n1", stateSilence = siblingsSilence(it) * 1_000_000))
            rig.call("POST", "/beat", beat, Port.PEER)
            rig.call("GET", "/submissions/job-000001")
            rig.run(1.secs)
        }

    @Test
    fun `a quiet follower, which asks the state service next to nothing, stays ready`() {
        rig.writeLeased("leader", Json.parseToJsonElement("""{"member":"n1","boot":"x"}"""))
        rig.run(2.secs)
        repeat(20) {
            rig.call("POST", "/beat", BeatCodec.encode(Beat("n1")), Port.PEER)
            rig.run(1.secs)
            assertEquals(200, ready())
        }
    }

    @Test
    fun `in an outage for all, all stay ready`() {
        rig.run(2.secs)
        rig.refuse = { true }
        pass(12) { it.toLong() }
        assertEquals(200, ready())
    }

    @Test
    fun `one that alone is refused is not ready until it is served again`() {
        rig.run(2.secs)
        rig.refuse = { true }
        pass(5) { 0 }
        assertEquals(503, ready())
        rig.refuse = { false }
        pass(2) { 0 }
        assertEquals(200, ready())
    }
}
