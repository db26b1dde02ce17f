package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.TaskAttempt

/**
 * Guards against a change of the formats in [FormatAdditions]: controllers of another version would
 * misread what this version stores or sends, or this version what they do. This version must write
 * the samples byte for byte, and read the responses with cancelled tasks to halt. The samples are
 * never regenerated.
 */
class FormatAdditionsTest {
    private val samples = FormatSamples(FormatSamples.ADDITIONS)

    @Test
    fun `stored values and their keys match the samples byte for byte`() {
        val current = FormatAdditions.storedValues()
        assertEquals(samples.stored.keys, current.keys)
        for ((key, value) in samples.stored) {
            val written = current.getValue(key)
            if (FormatSamples.isPacked(key)) {
                // The compressed bytes may depend on the Java version, so they are compared
                // unpacked.
                val sample = FormatTree.unpacked(value).toHexString()
                assertEquals(sample, FormatTree.unpacked(written).toHexString(), key)
            } else {
                assertEquals(value.toString(), written.toString(), key)
            }
        }
    }

    @Test
    fun `messages between controllers match the samples byte for byte`() {
        val current = FormatAdditions.messages().mapValues { it.value.toHexString() }
        assertEquals(samples.messages.mapValues { it.value.toHexString() }, current)
    }

    @Test
    fun `requests of operators and the responses match the samples byte for byte`() {
        val operators = Json.parseToJsonElement(samples.text("operators")).jsonObject
        val samples = operators.mapValues { it.value.jsonPrimitive.content }
        assertEquals(samples, FormatAdditions.operatorMessages())
    }

    /**
     * Runs [check] on the response [name] as it was sent and with unknown fields, as a later
     * version might send it. Both must be encoded again to the original bytes.
     */
    private fun checkResponse(name: String, check: (HeartbeatBatchResponse) -> Unit) {
        val bytes = samples.messages.getValue(name)
        val extended = FormatTree.toCbor(FormatTree.withUnknownFields(FormatTree.parseCbor(bytes)))
        for (sent in listOf(bytes, extended)) {
            val response = assertNotNull(ForwardingCodec.decodeResponse(sent), name)
            check(response)
            assertEquals(bytes.toHexString(), ForwardingCodec.encode(response).toHexString(), name)
        }
    }

    private fun assertHaltingResponse(response: HeartbeatBatchResponse?) {
        assertNotNull(response)
        assertEquals(
            listOf("n3-1", 41L, 4_711L),
            listOf(response.processIncarnation, response.number, response.token),
        )
        assertEquals(55_500_000, response.leaderClock)
        assertEquals(5_280_000, response.grantDuration)
        assertTrue(response.renewalAllowed)
        assertEquals(listOf("job-000412", "job-000414"), response.cancelledJobs)
        val halts = response.mustHalt.orEmpty().map { it.machine to it.tasks }
        val first = listOf(TaskAttempt("job-000412/16", 1), TaskAttempt("job-000412/17", 2))
        assertEquals(listOf("i-000001" to first, "i-000002" to emptyList()), halts)
    }

    private fun assertEmptyHaltingResponse(response: HeartbeatBatchResponse?) {
        assertNotNull(response)
        assertEquals(
            listOf("n3-1", 42L, 4_711L),
            listOf(response.processIncarnation, response.number, response.token),
        )
        assertEquals(55_600_000, response.leaderClock)
        assertTrue(response.renewalAllowed)
        assertEquals(emptyList(), response.cancelledJobs)
        assertEquals(emptyList(), response.mustHalt)
    }

    @Test
    fun `cancelled jobs and tasks to halt are read from a response`() {
        checkResponse("halting answer") { assertHaltingResponse(it) }
        checkResponse("nothing to halt") { assertEmptyHaltingResponse(it) }
    }

    @Test
    fun `stored responses are read, and without the tasks to halt they allow no lease renewal`() {
        val value = samples.stored.getValue("a/relays")
        val extended =
            FormatTree.packed(FormatTree.withUnknownFields(FormatTree.parsePacked(value)))
        for (stored in listOf(value, extended)) {
            val responses = assertNotNull(ForwardingCodec.decodeStoredResponses(stored)).byMember
            assertEquals(setOf("n1", "n3", "n4"), responses.keys)
            assertEmptyHaltingResponse(responses["n1"])
            assertHaltingResponse(responses["n3"])
            val withoutCommands = assertNotNull(responses["n4"])
            assertEquals(41, withoutCommands.number)
            assertFalse(withoutCommands.renewalAllowed)
            assertEquals(emptyList(), withoutCommands.cancelledJobs)
            assertEquals(emptyList(), withoutCommands.mustHalt)
        }
    }

    /** Null means that the leader cannot send the list; an empty list means no tasks to halt. */
    @Test
    fun `a response of an earlier version has no list of tasks to halt`() {
        val earlier = FormatSamples(FormatSamples.PRODUCTION).messages.getValue("answer")
        assertNull(assertNotNull(ForwardingCodec.decodeResponse(earlier)).mustHalt)
    }
}
