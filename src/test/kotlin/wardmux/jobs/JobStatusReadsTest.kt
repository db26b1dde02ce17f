package wardmux.jobs

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonPrimitive
import wardmux.model.seconds
import wardmux.sim.ControllerHarness

/** How many reads answer the status calls of users, and when they are answered. */
class JobStatusReadsTest {
    private val harness = ControllerHarness()

    private fun id(number: Int) = "job-%06d".format(number)

    private fun submit(number: Int) {
        val body =
            submission(
                "name_id" to JsonPrimitive(id(number)),
                "owner" to JsonPrimitive("team-0"),
                "pieces" to JsonPrimitive(1),
                "gpus" to JsonPrimitive(0.0),
                "boxkinds" to null,
            )
        assertEquals(201, harness.call("POST", "/submissions", body)?.first)
    }

    @Test
    fun `one request shows the status of many jobs, and each call is answered`() {
        harness.run(2.seconds)
        for (number in 1..60) submit(number)
        harness.run(2.seconds)
        harness.holdStoreResponses = true
        harness.storeRequests.clear()
        val calls =
            (1..60).map {
                harness.call("GET", "/submissions/${id(it)}")
                harness.lastRequestId
            }
        harness.releaseStoreResponses()
        for (call in calls) assertEquals(200, harness.responseTo(call)?.first)
        assertTrue(harness.storeRequests.size <= 5, "${harness.storeRequests}")
    }

    @Test
    fun `a job that was cancelled meanwhile, or never submitted, is read`() {
        harness.run(2.seconds)
        submit(1)
        harness.holdStoreResponses = true
        harness.call("GET", "/submissions/${id(1)}")
        val cancellation = harness.call("POST", "/submissions/${id(1)}/abort")
        assertEquals(null, cancellation)
        harness.releaseStoreResponses()
        val status = harness.call("GET", "/submissions/${id(1)}")
        assertTrue("cancelled" in status?.second.orEmpty(), "$status")
        assertEquals(404, harness.call("GET", "/submissions/${id(2)}")?.first)
    }

    @Test
    fun `a call whose job can't be read in time is answered as unavailable`() {
        harness.run(2.seconds)
        submit(1)
        harness.holdStoreResponses = true
        repeat(9) { harness.call("GET", "/submissions/${id(1)}") }
        val last = harness.lastRequestId
        harness.run(2.seconds)
        assertEquals(503, harness.responseTo(last)?.first)
    }
}
