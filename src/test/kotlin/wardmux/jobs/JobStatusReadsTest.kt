package wardmux.jobs

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonPrimitive
import wardmux.model.seconds
import wardmux.sim.ControllerHarness

/**
 * Tests how status calls of users are answered from the key-value store. Guards against one request
 * per call, which would exceed the store's request rate, against outdated answers, and against
 * calls that get no answer while the store does not respond.
 */
class JobStatusReadsTest {
    private val harness = ControllerHarness()

    private fun jobId(number: Int) = "job-%06d".format(number)

    private fun submit(number: Int) {
        val body =
            submission(
                "name_id" to JsonPrimitive(jobId(number)),
                "owner" to JsonPrimitive("team-0"),
                "pieces" to JsonPrimitive(1),
                "gpus" to JsonPrimitive(0.0),
                "boxkinds" to null,
            )
        assertEquals(201, harness.call("POST", "/submissions", body)?.first)
    }

    @Test
    fun `at most five requests answer the status calls for sixty jobs`() {
        harness.run(2.seconds)
        for (number in 1..60) submit(number)
        harness.run(2.seconds)
        harness.holdStoreResponses = true
        harness.storeRequests.clear()
        val calls =
            (1..60).map {
                harness.call("GET", "/submissions/${jobId(it)}")
                harness.lastRequestId
            }
        harness.releaseStoreResponses()
        for (call in calls) assertEquals(200, harness.responseTo(call)?.first)
        assertTrue(
            harness.storeRequests.size <= 5,
            "expected at most 5 store requests for 60 calls, sent ${harness.storeRequests}",
        )
    }

    @Test
    fun `a status call shows a concurrent cancellation, and gets 404 for an unknown job`() {
        harness.run(2.seconds)
        submit(1)
        harness.holdStoreResponses = true
        harness.call("GET", "/submissions/${jobId(1)}")
        val cancellation = harness.call("POST", "/submissions/${jobId(1)}/abort")
        assertEquals(null, cancellation)
        harness.releaseStoreResponses()
        val status = harness.call("GET", "/submissions/${jobId(1)}")
        assertTrue(
            "cancelled" in status?.second.orEmpty(),
            "expected status cancelled, got $status",
        )
        assertEquals(404, harness.call("GET", "/submissions/${jobId(2)}")?.first)
    }

    @Test
    fun `a status call whose job can't be read in time gets 503`() {
        harness.run(2.seconds)
        submit(1)
        harness.holdStoreResponses = true
        repeat(9) { harness.call("GET", "/submissions/${jobId(1)}") }
        val lastCall = harness.lastRequestId
        harness.run(2.seconds)
        assertEquals(503, harness.responseTo(lastCall)?.first)
    }
}
