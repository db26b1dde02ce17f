package wardmux.jobs

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.model.seconds
import wardmux.sim.ControllerHarness

class JobStatusReadsTest {
    private val harness = ControllerHarness()

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
        assertEquals(201, harness.call("POST", "/submissions", body)?.first)
    }

    @Test
    fun `one request tells of many jobs, and none is passed over`() {
        harness.run(2.seconds)
        for (number in 1..60) submit(number)
        harness.run(2.seconds)
        harness.hold = true
        harness.stateCalls.clear()
        val asked =
            (1..60).map {
                harness.call("GET", "/submissions/${id(it)}")
                harness.lastCall
            }
        harness.release()
        for (call in asked) assertEquals(200, harness.answerTo(call)?.first)
        assertTrue(harness.stateCalls.size <= 5, "${harness.stateCalls}")
    }

    @Test
    fun `a job that is over meanwhile, or was never there, is read`() {
        harness.run(2.seconds)
        submit(1)
        harness.hold = true
        harness.call("GET", "/submissions/${id(1)}")
        val later = harness.call("POST", "/submissions/${id(1)}/abort")
        assertEquals(null, later)
        harness.release()
        val over = harness.call("GET", "/submissions/${id(1)}")
        assertTrue("cancelled" in over?.second.orEmpty(), "$over")
        assertEquals(404, harness.call("GET", "/submissions/${id(2)}")?.first)
    }

    @Test
    fun `what can't be read in time is answered at once, with when to come back`() {
        harness.run(2.seconds)
        submit(1)
        harness.hold = true
        repeat(9) { harness.call("GET", "/submissions/${id(1)}") }
        val last = harness.lastCall
        harness.run(2.seconds)
        assertEquals(503, harness.answerTo(last)?.first)
    }
}
