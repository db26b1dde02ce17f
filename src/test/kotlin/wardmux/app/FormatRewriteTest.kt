package wardmux.app

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import wardmux.election.LeaderElection
import wardmux.election.LeaderRecord
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.StoredBatchClient
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.peers.PeerHeartbeatCodec
import wardmux.records.JobRecord
import wardmux.records.MachineTypeList
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.scheduling.FairQueue
import wardmux.serialization.jsonBytes
import wardmux.serialization.lenientJson

/**
 * Guards against data that is lost when this version reads a value of another version and writes it
 * again, which happens while several versions run side by side. What this version writes must keep
 * everything that the version in production or its successor wrote and needs. Each value is also
 * read with unknown fields, which must be ignored without a loss of other fields.
 */
class FormatRewriteTest {
    private val samples = FormatSamples(FormatSamples.PRODUCTION)

    /**
     * Asserts that the stored value is rewritten unchanged, also if it was read with unknown
     * fields.
     */
    private fun assertStoredRewrite(key: String, rewrite: (JsonElement) -> JsonElement) {
        val value = samples.stored.getValue(key)
        assertEquals(value.toString(), rewrite(value).toString(), key)
        assertEquals(value.toString(), rewrite(FormatTree.withUnknownFields(value)).toString(), key)
    }

    /** Asserts that the message is rewritten unchanged, also if it was read with unknown fields. */
    private fun assertMessageRewrite(name: String, rewrite: (ByteArray) -> ByteArray) {
        val bytes = samples.messages.getValue(name)
        val extended = FormatTree.toCbor(FormatTree.withUnknownFields(FormatTree.parseCbor(bytes)))
        assertEquals(bytes.toHexString(), rewrite(bytes).toHexString(), name)
        assertEquals(bytes.toHexString(), rewrite(extended).toHexString(), name)
    }

    /** Asserts the same for a compressed stored value, compared unpacked. */
    private fun assertPackedRewrite(key: String, rewrite: (JsonElement) -> String) {
        val value = samples.stored.getValue(key)
        val bytes = FormatTree.unpacked(value).toHexString()
        val extended =
            FormatTree.packed(FormatTree.withUnknownFields(FormatTree.parsePacked(value)))
        for (form in listOf(value, extended)) {
            val written = FormatTree.unpacked(JsonPrimitive(rewrite(form))).toHexString()
            assertEquals(bytes, written, key)
        }
    }

    @Test
    fun `the leader record, the fair queue tags and the machine types keep their content`() {
        assertStoredRewrite(LeaderElection.KEY) {
            val record = lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), it)
            lenientJson.encodeToJsonElement(LeaderRecord.serializer(), record)
        }
        assertStoredRewrite(FairQueue.KEY) {
            val queue = FormatContents.emptyFairQueue()
            queue.load(it)
            queue.toJson(Micros(FormatContents.TAGS_SAVED_AT))
        }
        assertStoredRewrite(MachineTypeList.KEY) {
            MachineTypeList.encode(assertNotNull(MachineTypeList.decode(it)))
        }
    }

    @Test
    fun `job records keep their content, and open ones become the same cancelled records`() {
        val records = samples.stored.keys.filter { it.first() in "jqc" && it[1] == '/' }
        assertEquals(13, records.size)
        for (key in records) assertStoredRewrite(key) {
            assertNotNull(JobRecord.decode(it)).toJson()
        }
        for (spec in FormatContents.SPECS) {
            val open = assertNotNull(JobRecord.decode(samples.stored.getValue("q/${spec.id}")))
            val cancelled = samples.stored.getValue("c/${spec.id}")
            assertEquals(
                cancelled.toString(),
                open.toCancelled(maxBytes = 2_000).toJson().toString(),
            )
        }
    }

    /**
     * A cancelled record that exceeds the size limit is shortened. Only fields that the version in
     * production can do without may be left out.
     */
    @Test
    fun `a shortened record keeps each required field`() {
        for (spec in FormatContents.SPECS) {
            val open = assertNotNull(JobRecord.decode(samples.stored.getValue("q/${spec.id}")))
            val whole = open.toCancelled(maxBytes = 2_000).toJson()
            val short = open.toCancelled(jsonBytes(whole) - 1).toJson()
            assertTrue(
                jsonBytes(short) < jsonBytes(whole),
                "the record of ${spec.id} must become shorter",
            )
            val missing = fields(whole) - fields(short)
            assertTrue(
                missing.all { it in OPTIONAL_FIELDS },
                "expected only optional fields to be left out of ${spec.id}, but was $missing",
            )
            assertEquals(whole.jsonObject.getValue("state"), short.jsonObject["state"])
            assertEquals(spec.team, assertNotNull(JobRecord.decode(short)).spec?.team)
        }
    }

    private fun fields(record: JsonElement): Set<String> =
        record.jsonObject.keys + (record.jsonObject["spec"] as JsonObject).keys

    /** Asserts that the task pages of [spec] still describe the same tasks after a rewrite. */
    private fun assertPagesRewrite(spec: JobSpec, pages: IntRange) {
        val keys = pages.associateWith { TaskPageCodec.key(JobId(spec.id), it) }
        for (extended in listOf(false, true)) {
            val first = FormatContents.newGang(spec)
            val second = FormatContents.newGang(spec)
            for ((number, key) in keys) {
                val sample = samples.stored.getValue(key)
                load(first, number, if (extended) FormatTree.withUnknownFields(sample) else sample)
                val again = TaskPageCodec.encode(first, number)
                // The order of placements may change; the fields and their content may not.
                assertEquals(sample.jsonObject.keys.toList(), again.jsonObject.keys.toList(), key)
                load(second, number, again)
            }
            assertEquals(contents(first), contents(second))
            assertEquals(contents(originalJob(spec)), contents(second))
        }
    }

    private fun load(job: Job, number: Int, json: JsonElement) {
        val stored = lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), json)
        TaskPageCodec.restore(job, number, KeyVersion(99), stored)
    }

    private fun originalJob(spec: JobSpec): Job =
        listOf(
                FormatContents.job(),
                FormatContents.placedGang(),
                FormatContents.waitingGang(),
                FormatContents.doneGang(),
            )
            .single { it.spec.id == spec.id }

    /**
     * Describes each task: whether it is done, where it is placed, or its next attempt number. A
     * task that is done but still on its machine has both the first and the second.
     */
    private fun contents(job: Job): List<String> =
        List(job.spec.tasks) { task ->
            val at = job.placements.get(task)
            val place = at?.run { "on $machine $incarnation $zone, try $attempt, $charge" }
            val next = if (job.isTaskDone(task)) "done" else "next ${job.nextAttempt(task)}"
            "$task ${if (place == null || job.isTaskDone(task)) next else ""} $place"
        }

    @Test
    fun `task pages of arrays and gangs keep their content`() {
        assertPagesRewrite(FormatContents.ARRAY_SPEC, 0..2)
        assertPagesRewrite(FormatContents.GANG_SPEC, 0..2)
        assertPagesRewrite(FormatContents.WAITING_GANG_SPEC, 0..0)
        assertPagesRewrite(FormatContents.DONE_GANG_SPEC, 0..0)
    }

    @Test
    fun `heartbeats of peers and cancellation updates keep their content`() {
        for (name in listOf("beat", "beat of a follower")) {
            assertMessageRewrite(name) {
                PeerHeartbeatCodec.encode(assertNotNull(PeerHeartbeatCodec.decode(it)))
            }
        }
        for (name in listOf("told", "nothing told")) {
            assertMessageRewrite(name) {
                PeerHeartbeatCodec.encode(assertNotNull(PeerHeartbeatCodec.decodeUpdate(it)))
            }
        }
    }

    @Test
    fun `batches and responses keep their content as messages and as stored values`() {
        for (name in listOf("batch", "first batch")) {
            assertMessageRewrite(name) {
                ForwardingCodec.encode(assertNotNull(ForwardingCodec.decodeBatch(it)))
            }
        }
        for (name in listOf("answer", "plain answer")) {
            assertMessageRewrite(name) {
                ForwardingCodec.encode(assertNotNull(ForwardingCodec.decodeResponse(it)))
            }
        }
        assertPackedRewrite(StoredBatchClient.BATCH_KEY_PREFIX + "n3") {
            ForwardingCodec.pack(assertNotNull(ForwardingCodec.decodeBatch(it)))
        }
        assertPackedRewrite(StoredBatchClient.RESPONSES_KEY) {
            ForwardingCodec.pack(assertNotNull(ForwardingCodec.decodeStoredResponses(it)))
        }
    }

    private companion object {
        /** The decoders of production and of its successor accept a record without these fields. */
        val OPTIONAL_FIELDS = setOf("boxkinds", "ward", "due_s")
    }
}
