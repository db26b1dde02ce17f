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
 * What this version writes of [FormatAdditions] is byte for byte what is in the samples, which are
 * never made anew; and the answers to relays in them, with the cancelled tasks that are to be
 * halted, are read.
 */
class FormatAdditionsTest {
    private val samples = FormatSamples(FormatSamples.ADDITIONS)

    @Test
    fun `what is stored is the same byte for byte, under the same keys`() {
        val current = FormatAdditions.storedValues()
        assertEquals(samples.stored.keys, current.keys)
        for ((key, value) in samples.stored) {
            val written = current.getValue(key)
            if (FormatSamples.isPacked(key)) {
                // How well it is packed may depend on the Java version.
                val sample = FormatTree.unpacked(value).toHexString()
                assertEquals(sample, FormatTree.unpacked(written).toHexString(), key)
            } else {
                assertEquals(value.toString(), written.toString(), key)
            }
        }
    }

    @Test
    fun `messages between controllers are the same byte for byte`() {
        val current = FormatAdditions.messages().mapValues { it.value.toHexString() }
        assertEquals(samples.messages.mapValues { it.value.toHexString() }, current)
    }

    @Test
    fun `what operators send and are answered is the same byte for byte`() {
        val operators = Json.parseToJsonElement(samples.text("operators")).jsonObject
        val samples = operators.mapValues { it.value.jsonPrimitive.content }
        assertEquals(samples, FormatAdditions.operatorMessages())
    }

    /** As it was sent, and as a later version might send it; each is written again alike. */
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
    fun `cancelled jobs and the tasks to be halted are read`() {
        checkResponse("halting answer") { assertHaltingResponse(it) }
        checkResponse("nothing to halt") { assertEmptyHaltingResponse(it) }
    }

    @Test
    fun `they are read by way of the state service, where no lease may be renewed without them`() {
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

    /** A leader of an earlier version names none, which is not the same as that there are none. */
    @Test
    fun `an answer of an earlier version names no tasks to be halted`() {
        val earlier = FormatSamples(FormatSamples.PRODUCTION).messages.getValue("answer")
        assertNull(assertNotNull(ForwardingCodec.decodeResponse(earlier)).mustHalt)
    }
}
