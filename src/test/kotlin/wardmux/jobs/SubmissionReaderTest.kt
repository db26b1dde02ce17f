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

/** The fields of a valid submission, by their names in the protocol. */
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

/** The body of a valid submission with [changes] to its fields; a null value removes the field. */
fun submission(vararg changes: Pair<String, JsonElement?>): ByteArray {
    val fields = VALID_SUBMISSION_FIELDS.toMutableMap()
    for ((name, value) in changes) if (value == null) fields.remove(name) else fields[name] = value
    return JsonObject(fields).toString().encodeToByteArray()
}

/**
 * Tests the decoding of submissions. Guards against accepting a field with a wrong type or range,
 * against refusing fields of later versions, and against records that don't fit into a value of the
 * key-value store.
 */
class SubmissionReaderTest {
    private fun assertMalformed(body: ByteArray) =
        assertIs<Submission.Malformed>(SubmissionReader.read(body), body.decodeToString())

    @Test
    fun `all fields of a well-formed submission are read`() {
        val wellFormed = assertIs<Submission.WellFormed>(SubmissionReader.read(submission()))
        assertEquals(16, wellFormed.spec.tasks)
        assertEquals(PriorityClass.HIGH, wellFormed.spec.priority)
        assertNull(wellFormed.spec.types)
        assertEquals(900.0, wellFormed.spec.deadlineS)
    }

    @Test
    fun `optional fields may be missing and unknown fields are ignored`() {
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
            assertMalformed(submission(field to null))
            assertMalformed(submission(field to JsonNull))
        }
    }

    @Test
    fun `values of a wrong type or range are malformed`() {
        val invalidChanges =
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
        for (change in invalidChanges) assertMalformed(submission(change))
    }

    @Test
    fun `numbers that JSON does not allow or that exceed a double are malformed`() {
        val text = submission().decodeToString()
        for (number in listOf("NaN", "Infinity", "1e999", "0x10")) {
            assertMalformed(
                text.replace("\"mem_gb\":4.0", "\"mem_gb\":$number").encodeToByteArray()
            )
        }
    }

    @Test
    fun `a malformed submission has an id only if the body is an object with a valid one`() {
        for (text in listOf("", "[]", "3", "{", "\"x\"", "null")) {
            assertNull(assertMalformed(text.encodeToByteArray()).id)
        }
        assertEquals("job-000412", assertMalformed(submission("cores" to null)).id?.value)
    }

    @Test
    fun `machine types that can't be used are removed if the record would be too large`() {
        val longText = JsonPrimitive("x".repeat(700))
        val machineTypes = List(400) { JsonPrimitive("kind-%03d".format(it)) }
        val typesTwice = JsonArray(machineTypes + machineTypes)
        val readSpec = { changes: Array<Pair<String, JsonElement?>> ->
            assertIs<Submission.WellFormed>(SubmissionReader.read(submission(*changes))).spec
        }
        val specWithTypes =
            readSpec(
                arrayOf("bundle" to longText, "jobclass" to longText, "boxkinds" to typesTwice)
            )
        val usefulTypes = setOf("kind-007", "kind-200")
        val shortened = JobRecord.shortened(specWithTypes, usefulTypes, 2048)
        assertEquals(specWithTypes.copy(types = listOf("kind-007", "kind-200")), shortened)
        assertTrue(JobRecord.maxBytes(shortened!!) <= 2048)
        assertEquals(shortened, JobRecord.shortened(specWithTypes, usefulTypes, 16_384))
        // A short record is not changed, so it keeps machine types that are not known yet.
        val shortSpec = readSpec(arrayOf("boxkinds" to JsonArray(machineTypes.take(60))))
        assertEquals(shortSpec, JobRecord.shortened(shortSpec, usefulTypes, 2048))
        val largeSpec = readSpec(arrayOf("bundle" to JsonPrimitive("x".repeat(2_000))))
        assertNull(JobRecord.shortened(largeSpec, usefulTypes, 2048))
        assertEquals(largeSpec, JobRecord.shortened(largeSpec, usefulTypes, 8192))
    }

    @Test
    fun `a record that fits only if the store does not escape it is kept, a larger one is not`() {
        // Each character takes two bytes, or six if the key-value store escapes it.
        val specWithAccents = { length: Int ->
            val text = JsonPrimitive("\u00e9".repeat(length))
            val read = SubmissionReader.read(submission("bundle" to text, "jobclass" to text))
            assertIs<Submission.WellFormed>(read).spec
        }
        val specFittingUnescaped = specWithAccents(200)
        assertTrue(JobRecord.maxBytes(specFittingUnescaped) > 2048)
        assertEquals(
            specFittingUnescaped,
            JobRecord.shortened(specFittingUnescaped, emptySet(), 2048),
        )
        assertNull(JobRecord.shortened(specWithAccents(500), emptySet(), 2048))
    }

    @Test
    fun `a job accepted under a larger limit can still be cancelled`() {
        val wellFormed = SubmissionReader.read(submission()) as Submission.WellFormed
        val largeSpec = wellFormed.spec.copy(types = List(400) { "kind-$it" })
        val cancelled = JobRecord(JobState.ACCEPTED, 1, largeSpec).toCancelled(2048)
        assertTrue(cancelled.toJson().toString().length < 2048)
        assertEquals(JobState.CANCELLED, cancelled.state)
        assertEquals(largeSpec.tasks to largeSpec.cpus, cancelled.spec?.let { it.tasks to it.cpus })
        assertEquals(largeSpec, JobRecord(JobState.ACCEPTED, 1, largeSpec).toCancelled(16_384).spec)
    }
}
