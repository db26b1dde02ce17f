package wardmux.intake

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.secs
import wardmux.sim.Rig

class PollsTest {
    private val rig = Rig()

    private fun id(number: Int) = "job-%06d".format(number)

    private fun submit(number: Int) {
        val name = kotlinx.serialization.json.JsonPrimitive(id(number))
        val owner = kotlinx.serialization.json.JsonPrimitive("team-0")
        val few = kotlinx.serialization.json.JsonPrimitive(1)
        val gpus = kotlinx.serialization.json.JsonPrimitive(0.0)
        val body =
            submission(
                "name_id" to name,
                "owner" to owner,
                "pieces" to few,
                "gpus" to gpus,
                "boxkinds" to null,
            )
        assertEquals(201, rig.call("POST", "/submissions", body)?.first)
    }

    @Test
    fun `one request tells of many jobs, and none is passed over`() {
        rig.run(2.secs)
        for (number in 1..60) submit(number)
        rig.run(2.secs)
        rig.hold = true
        rig.stateCalls.clear()
        val asked =
            (1..60).map {
                rig.call("GET", "/submissions/${id(it)}")
                rig.lastCall
            }
        rig.release()
        for (call in asked) assertEquals(200, rig.answerTo(call)?.first)
        assertTrue(rig.stateCalls.size <= 5, "${rig.stateCalls}")
    }

    @Test
    fun `a job that is over meanwhile, or was never there, is read`() {
        rig.run(2.secs)
        submit(1)
        rig.hold = true
        rig.call("GET", "/submissions/${id(1)}")
        val later = rig.call("POST", "/submissions/${id(1)}/abort")
        assertEquals(null, later)
        rig.release()
        val over = rig.call("GET", "/submissions/${id(1)}")
        assertTrue("cancelled" in over?.second.orEmpty(), "$over")
        assertEquals(404, rig.call("GET", "/submissions/${id(2)}")?.first)
    }

    @Test
    fun `what can't be read in time is answered at once, with when to come back`() {
        rig.run(2.secs)
        submit(1)
        rig.hold = true
        repeat(9) { rig.call("GET", "/submissions/${id(1)}") }
        val last = rig.lastCall
        rig.run(2.secs)
        assertEquals(503, rig.answerTo(last)?.first)
    }
}
