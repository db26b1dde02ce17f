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
 * While versions serve side by side, each reads what the other wrote and writes it again. What this
 * version writes of something that it has read still holds all that the version in production, or
 * the last landing, wrote there and needs. What is read is also tried with fields that no present
 * version knows: they are ignored, and do not keep anything else from being written again.
 */
class FormatRewriteTest {
    private val samples = FormatSamples(FormatSamples.PRODUCTION)

    private fun rewritten(key: String, rewrite: (JsonElement) -> JsonElement) {
        val value = samples.stored.getValue(key)
        assertEquals(value.toString(), rewrite(value).toString(), key)
        assertEquals(value.toString(), rewrite(FormatTree.withMore(value)).toString(), key)
    }

    private fun sentOn(name: String, rewrite: (ByteArray) -> ByteArray) {
        val bytes = samples.messages.getValue(name)
        val more = FormatTree.toCbor(FormatTree.withMore(FormatTree.ofCbor(bytes)))
        assertEquals(bytes.toHexString(), rewrite(bytes).toHexString(), name)
        assertEquals(bytes.toHexString(), rewrite(more).toHexString(), name)
    }

    private fun packedAgain(key: String, rewrite: (JsonElement) -> String) {
        val value = samples.stored.getValue(key)
        val bytes = FormatTree.unpacked(value).toHexString()
        val more = FormatTree.packed(FormatTree.withMore(FormatTree.ofPacked(value)))
        for (form in listOf(value, more)) {
            val written = FormatTree.unpacked(JsonPrimitive(rewrite(form))).toHexString()
            assertEquals(bytes, written, key)
        }
    }

    @Test
    fun `the leader's record, the tags and the machine types`() {
        rewritten(LeaderElection.KEY) {
            val record = lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), it)
            lenientJson.encodeToJsonElement(LeaderRecord.serializer(), record)
        }
        rewritten(FairQueue.KEY) {
            val queue = FormatContents.queue()
            queue.load(it)
            queue.toJson(Micros(FormatContents.TAGS_AT))
        }
        rewritten(MachineTypeList.KEY) {
            MachineTypeList.encode(assertNotNull(MachineTypeList.decode(it)))
        }
    }

    @Test
    fun `records of jobs, also as they are cancelled or done`() {
        val records = samples.stored.keys.filter { it.first() in "jqc" && it[1] == '/' }
        assertEquals(13, records.size)
        for (key in records) rewritten(key) { assertNotNull(JobRecord.decode(it)).toJson() }
        for (spec in FormatContents.SPECS) {
            val open = assertNotNull(JobRecord.decode(samples.stored.getValue("q/${spec.id}")))
            val cancelled = samples.stored.getValue("c/${spec.id}")
            assertEquals(
                cancelled.toString(),
                open.toCancelled(maxBytes = 2_000).toJson().toString(),
            )
        }
    }

    /** Of a record that has no room any more, only what production does without is left out. */
    @Test
    fun `a record that is shortened keeps each field that must be there`() {
        for (spec in FormatContents.SPECS) {
            val open = assertNotNull(JobRecord.decode(samples.stored.getValue("q/${spec.id}")))
            val whole = open.toCancelled(maxBytes = 2_000).toJson()
            val short = open.toCancelled(jsonBytes(whole) - 1).toJson()
            assertTrue(jsonBytes(short) < jsonBytes(whole), spec.id)
            val lost = fields(whole) - fields(short)
            assertTrue(lost.all { it in OPTIONAL }, "$lost of ${spec.id}")
            assertEquals(whole.jsonObject.getValue("state"), short.jsonObject["state"])
            assertEquals(spec.team, assertNotNull(JobRecord.decode(short)).spec?.team)
        }
    }

    private fun fields(record: JsonElement): Set<String> =
        record.jsonObject.keys + (record.jsonObject["spec"] as JsonObject).keys

    private fun pagesAgain(spec: JobSpec, pages: IntRange) {
        val keys = pages.associateWith { TaskPageCodec.key(JobId(spec.id), it) }
        for (more in listOf(false, true)) {
            val first = FormatContents.emptyGang(spec)
            val second = FormatContents.emptyGang(spec)
            for ((number, key) in keys) {
                val sample = samples.stored.getValue(key)
                load(first, number, if (more) FormatTree.withMore(sample) else sample)
                val again = TaskPageCodec.encode(first, number)
                // The order of placements is free; the fields and all that they hold are not.
                assertEquals(sample.jsonObject.keys.toList(), again.jsonObject.keys.toList(), key)
                load(second, number, again)
            }
            assertEquals(contents(first), contents(second))
            assertEquals(contents(written(spec)), contents(second))
        }
    }

    private fun load(job: Job, number: Int, json: JsonElement) {
        val stored = lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), json)
        TaskPageCodec.restore(job, number, KeyVersion(99), stored)
    }

    private fun written(spec: JobSpec): Job =
        listOf(
                FormatContents.job(),
                FormatContents.gangOut(),
                FormatContents.gangAgain(),
                FormatContents.gangDone(),
            )
            .single { it.spec.id == spec.id }

    /** Of each task: done, where it is, or which try is next; both of one done on its machine. */
    private fun contents(job: Job): List<String> =
        List(job.spec.tasks) { task ->
            val at = job.placements.get(task)
            val place = at?.run { "on $machine $incarnation $zone, try $attempt, $charge" }
            val next = if (job.isTaskDone(task)) "done" else "next ${job.nextAttempt(task)}"
            "$task ${if (place == null || job.isTaskDone(task)) next else ""} $place"
        }

    @Test
    fun `pages of arrays and gangs`() {
        pagesAgain(FormatContents.BATCH_SPEC, 0..2)
        pagesAgain(FormatContents.GANG_SPEC, 0..2)
        pagesAgain(FormatContents.GANG_AGAIN_SPEC, 0..0)
        pagesAgain(FormatContents.GANG_DONE_SPEC, 0..0)
    }

    @Test
    fun `heartbeats and what is told of cancellations`() {
        for (name in listOf("beat", "beat of a follower")) {
            sentOn(name) { PeerHeartbeatCodec.encode(assertNotNull(PeerHeartbeatCodec.decode(it))) }
        }
        for (name in listOf("told", "nothing told")) {
            sentOn(name) {
                PeerHeartbeatCodec.encode(assertNotNull(PeerHeartbeatCodec.decodeUpdate(it)))
            }
        }
    }

    @Test
    fun `batches and answers, sent and by way of the state service`() {
        for (name in listOf("batch", "first batch")) {
            sentOn(name) { ForwardingCodec.encode(assertNotNull(ForwardingCodec.decodeBatch(it))) }
        }
        for (name in listOf("answer", "plain answer")) {
            sentOn(name) {
                ForwardingCodec.encode(assertNotNull(ForwardingCodec.decodeResponse(it)))
            }
        }
        packedAgain(StoredBatchClient.BATCH_KEY_PREFIX + "n3") {
            ForwardingCodec.pack(assertNotNull(ForwardingCodec.decodeBatch(it)))
        }
        packedAgain(StoredBatchClient.RESPONSES_KEY) {
            ForwardingCodec.pack(assertNotNull(ForwardingCodec.decodeStoredResponses(it)))
        }
    }

    private companion object {
        /** Without these the decoders of production and of the last landing read a record too. */
        val OPTIONAL = setOf("boxkinds", "ward", "due_s")
    }
}
