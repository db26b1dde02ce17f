package wardmux.jobs

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import wardmux.model.JobState
import wardmux.model.PriorityClass
import wardmux.records.JobRecord

val VALID_SUBMISSION_FIELDS: Map<String, JsonElement> =
    mapOf(
        "name_id" to JsonPrimitive("job-000412"),
        "jobclass" to JsonPrimitive("train"),
        "owner" to JsonPrimitive("team-0"),
        "shape" to JsonPrimitive("batch"),
        "urgency" to JsonPrimitive("high"),
        "pieces" to JsonPrimitive(16),
        "cores" to JsonPrimitive(8.0),
        "gpus" to JsonPrimitive(0.0),
        "mem_gb" to JsonPrimitive(4.0),
        "bundle" to JsonPrimitive("img-07"),
        "pull_gb" to JsonPrimitive(6.2),
        "boxkinds" to JsonNull,
        "ward" to JsonNull,
        "same_place" to JsonPrimitive(false),
        "scatter" to JsonPrimitive(false),
        "loaners" to JsonPrimitive(true),
        "guess_s" to JsonPrimitive(240.0),
        "savepoint_s" to JsonPrimitive(30.0),
        "dump_s" to JsonPrimitive(4.0),
        "due_s" to JsonPrimitive(900.0),
    )

fun submission(vararg changes: Pair<String, JsonElement?>): ByteArray {
    val fields = VALID_SUBMISSION_FIELDS.toMutableMap()
    for ((name, value) in changes) if (value == null) fields.remove(name) else fields[name] = value
    return JsonObject(fields).toString().encodeToByteArray()
}

class SubmissionReaderTest {
    private fun malformed(body: ByteArray) =
        assertIs<Submission.Malformed>(SubmissionReader.read(body), body.decodeToString())

    @Test
    fun `all fields of a well-formed submission are read`() {
        val good = assertIs<Submission.WellFormed>(SubmissionReader.read(submission()))
        assertEquals(16, good.spec.tasks)
        assertEquals(PriorityClass.HIGH, good.spec.priority)
        assertNull(good.spec.types)
        assertEquals(900.0, good.spec.deadlineS)
    }

    @Test
    fun `nullable fields may be left out and unknown ones are ignored`() {
        val body =
            submission(
                "boxkinds" to null,
                "ward" to null,
                "due_s" to null,
                "new" to JsonPrimitive(1),
            )
        assertIs<Submission.WellFormed>(SubmissionReader.read(body))
    }

    @Test
    fun `a submission without a required field is malformed`() {
        for (field in VALID_SUBMISSION_FIELDS.keys - setOf("boxkinds", "ward", "due_s")) {
            malformed(submission(field to null))
            malformed(submission(field to JsonNull))
        }
    }

    @Test
    fun `values of a wrong type or range are malformed`() {
        val wrong =
            listOf(
                "pieces" to JsonPrimitive(0),
                "pieces" to JsonPrimitive(100_001),
                "pieces" to JsonPrimitive(1.5),
                "pieces" to JsonPrimitive("3"),
                "cores" to JsonPrimitive(-1),
                "cores" to JsonPrimitive("8"),
                "mem_gb" to JsonPrimitive(true),
                "guess_s" to JsonObject(emptyMap()),
                "shape" to JsonPrimitive("ring"),
                "urgency" to JsonPrimitive("HIGH"),
                "same_place" to JsonPrimitive("true"),
                "loaners" to JsonPrimitive(1),
                "boxkinds" to JsonPrimitive("g8"),
                "ward" to JsonPrimitive(4),
                "owner" to JsonPrimitive(""),
                "name_id" to JsonPrimitive("job-"),
                "name_id" to JsonPrimitive("../leader"),
                "due_s" to JsonPrimitive(-5),
            )
        for (change in wrong) malformed(submission(change))
    }

    @Test
    fun `numbers that JSON does not have are malformed`() {
        val text = submission().decodeToString()
        for (number in listOf("NaN", "Infinity", "1e999", "0x10")) {
            malformed(text.replace("\"mem_gb\":4.0", "\"mem_gb\":$number").encodeToByteArray())
        }
    }

    @Test
    fun `a body that is no JSON object is malformed without an id`() {
        for (text in listOf("", "[]", "3", "{", "\"x\"", "null")) {
            assertNull(malformed(text.encodeToByteArray()).id)
        }
        assertEquals("job-000412", malformed(submission("cores" to null)).id?.value)
    }

    @Test
    fun `a record is fitted to a value by leaving out useless machine types`() {
        val long = JsonPrimitive("x".repeat(700))
        val kinds = List(400) { JsonPrimitive("kind-%03d".format(it)) }
        val twice = JsonArray(kinds + kinds)
        val good = { changes: Array<Pair<String, JsonElement?>> ->
            assertIs<Submission.WellFormed>(SubmissionReader.read(submission(*changes))).spec
        }
        val named = good(arrayOf("bundle" to long, "jobclass" to long, "boxkinds" to twice))
        val useful = setOf("kind-007", "kind-200")
        val kept = JobRecord.shortened(named, useful, 2048)
        assertEquals(named.copy(types = listOf("kind-007", "kind-200")), kept)
        assertTrue(JobRecord.maxBytes(kept!!) <= 2048)
        assertEquals(kept, JobRecord.shortened(named, useful, 16_384))
        // Unchanged where it is short, with types unknown so far.
        val short = good(arrayOf("boxkinds" to JsonArray(kinds.take(60))))
        assertEquals(short, JobRecord.shortened(short, useful, 2048))
        val beyond = good(arrayOf("bundle" to JsonPrimitive("x".repeat(2_000))))
        assertNull(JobRecord.shortened(beyond, useful, 2048))
        assertEquals(beyond, JobRecord.shortened(beyond, useful, 8192))
    }

    @Test
    fun `a record that fits only unescaped is tried, and one that never fits is not`() {
        // Two bytes each as written, six if the key-value store escapes them.
        val accented = { length: Int ->
            val text = JsonPrimitive("\u00e9".repeat(length))
            val read = SubmissionReader.read(submission("bundle" to text, "jobclass" to text))
            assertIs<Submission.WellFormed>(read).spec
        }
        val unescaped = accented(200)
        assertTrue(JobRecord.maxBytes(unescaped) > 2048)
        assertEquals(unescaped, JobRecord.shortened(unescaped, emptySet(), 2048))
        assertNull(JobRecord.shortened(accented(500), emptySet(), 2048))
    }

    @Test
    fun `a job accepted under a larger limit can still be cancelled`() {
        val good = SubmissionReader.read(submission()) as Submission.WellFormed
        val large = good.spec.copy(types = List(400) { "kind-$it" })
        val small = JobRecord(JobState.ACCEPTED, 1, large).toCancelled(2048)
        assertTrue(small.toJson().toString().length < 2048)
        assertEquals(JobState.CANCELLED, small.state)
        assertEquals(large.tasks to large.cpus, small.spec?.let { it.tasks to it.cpus })
        assertEquals(large, JobRecord(JobState.ACCEPTED, 1, large).toCancelled(16_384).spec)
    }
}
