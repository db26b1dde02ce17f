package wardmux.jobs

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import wardmux.config.AnnouncedStoreLimits
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.sim.ControllerHarness

/** Answers to repeated, infeasible, malformed and oversized submissions, and to cancellations. */
class SubmissionAnswersTest {
    private val harness = ControllerHarness().also { it.run(2.seconds) }
    private val id = JobId("job-000412")
    private val spec = (SubmissionReader.read(submission()) as Submission.WellFormed).spec

    private fun submit(vararg changes: Pair<String, JsonElement?>) =
        harness.call("POST", "/submissions", submission(*changes))!!

    private fun cancel() = harness.call("POST", "/submissions/${id.value}/abort")!!

    private fun stored(state: JobState) =
        harness.write(JobRecord.key(id), JobRecord(state, 0, spec).toJson())

    /** Repeats: identical, of an infeasible job (twice), and without a field. */
    private val repeats =
        listOf(
            emptyArray(),
            arrayOf<Pair<String, JsonElement?>>("cores" to JsonPrimitive(9e6)),
            arrayOf<Pair<String, JsonElement?>>("owner" to JsonPrimitive("nobody")),
            arrayOf<Pair<String, JsonElement?>>("scatter" to null),
        )

    @Test
    fun `repeats of an unfinished job get 200 with its state, whatever they say`() {
        assertEquals(201, submit().first)
        for (repeat in repeats) {
            val (status, text) = submit(*repeat)
            assertEquals(200, status, text)
            assertContains(text, "\"queued\"")
        }
    }

    @Test
    fun `repeats and cancellations of a finished job get 200 with its state, from any process`() {
        for ((state, word) in listOf(JobState.DONE to "done", JobState.CANCELLED to "cancelled")) {
            for (repeat in repeats) {
                // A process that has never seen the job, so that nothing comes from memory.
                val harness = ControllerHarness().also { it.run(2.seconds) }
                harness.write(JobRecord.key(id), JobRecord(state, 0, spec).toJson())
                val before = harness.storedValue(JobRecord.key(id))
                val calls =
                    listOf(
                        harness.call("POST", "/submissions", submission(*repeat)),
                        harness.call("POST", "/submissions/${id.value}/abort"),
                        harness.call("POST", "/submissions", submission(*repeat)),
                        harness.call("GET", "/submissions/${id.value}"),
                    )
                for (answer in calls) {
                    assertEquals(200, answer?.first, answer?.second)
                    assertContains(answer!!.second, "\"$word\"")
                }
                assertEquals(before, harness.storedValue(JobRecord.key(id)))
            }
        }
    }

    @Test
    fun `a job that was never submitted can't be cancelled`() {
        assertEquals(404, cancel().first)
        assertEquals(null, harness.storedValue(JobRecord.key(id)))
    }

    private fun text(value: String) = JsonPrimitive(value)

    private val service = "shape" to text("daemon")
    private val gang = "shape" to text("group")
    private val three = "pieces" to JsonPrimitive(3)
    private val together = "same_place" to JsonPrimitive(true)
    private val apart = "scatter" to JsonPrimitive(true)

    @Test
    fun `an infeasible job gets 422 and is not stored`() {
        val infeasible =
            listOf<Array<Pair<String, JsonElement?>>>(
                arrayOf("owner" to text("nobody")),
                arrayOf("cores" to JsonPrimitive(17.0)),
                arrayOf("mem_gb" to JsonPrimitive(65.0)),
                arrayOf("gpus" to JsonPrimitive(1.0)),
                arrayOf("ward" to text("z")),
                arrayOf("boxkinds" to JsonArray(listOf(text("none")))),
                arrayOf("boxkinds" to JsonArray(emptyList())),
                // More than the team's quota limit of 64 CPUs.
                arrayOf(service, "pieces" to JsonPrimitive(9)),
                arrayOf(gang, "pieces" to JsonPrimitive(9)),
                // All tasks in one zone, and not more than half of them in any.
                arrayOf(service, three, together, apart),
                arrayOf(gang, three, together, apart),
                arrayOf(service, three, apart, "ward" to text("a")),
                arrayOf(gang, three, apart, "ward" to text("a")),
            )
        for (changes in infeasible) {
            val (status, text) = submit(*changes)
            assertEquals(422, status, "${changes.toList()}: $text")
            assertEquals(null, harness.storedValue(JobRecord.key(id)))
        }
    }

    @Test
    fun `a feasible job is accepted, however close to an infeasible one`() {
        val feasible =
            listOf<Array<Pair<String, JsonElement?>>>(
                arrayOf("cores" to JsonPrimitive(16.0), "mem_gb" to JsonPrimitive(64.0)),
                arrayOf(service, "pieces" to JsonPrimitive(8)),
                arrayOf(gang, three, apart),
                arrayOf(service, "pieces" to JsonPrimitive(1), together, apart),
                // An array's tasks may run one after the other.
                arrayOf(three, together, apart),
                arrayOf(three, apart, "ward" to text("a")),
            )
        for ((i, changes) in feasible.withIndex()) {
            val (status, text) = submit("name_id" to text("job-00050$i"), *changes)
            assertEquals(201, status, "${changes.toList()}: $text")
        }
    }

    @Test
    fun `a submission that lacks a field gets 400 and is not stored`() {
        for (field in GOOD_FIELDS.keys - setOf("boxkinds", "ward", "due_s")) {
            assertEquals(400, submit(field to null).first, field)
            assertEquals(null, harness.storedValue(JobRecord.key(id)), field)
        }
        assertEquals(400, submit("pieces" to JsonPrimitive(0)).first)
    }

    private val lower = AnnouncedStoreLimits(valueKb = 2.0)
    private val manyKinds =
        JsonArray(List(300) { text("kind-%03d".format(it)) } + List(300) { text("mid") })

    @Test
    fun `a job whose record fits without useless machine types is not refused for its size`() {
        for (announced in listOf(null, lower)) {
            val harness = ControllerHarness(announcedLimits = announced).also { it.run(2.seconds) }
            if (announced != null) harness.lowerStoreLimits(announced)
            val long = text("x".repeat(600))
            val body = submission("boxkinds" to manyKinds, "bundle" to long, "jobclass" to long)
            assertEquals(201, harness.call("POST", "/submissions", body)?.first)
            val kept = JobRecord.decode(harness.storedValue(JobRecord.key(id))!!)?.spec
            assertEquals(600 to 600, kept?.let { it.image.length to it.jobClass.length })
            assertEquals(listOf("mid"), kept?.types)
            val cancelled = harness.call("POST", "/submissions/${id.value}/abort")
            assertEquals(200, cancelled?.first)
        }
    }

    @Test
    fun `a record too large for a value gets 422 without a write, a known job its state`() {
        val harness = ControllerHarness(announcedLimits = lower).also { it.run(2.seconds) }
        harness.lowerStoreLimits(lower)
        val submit = { changes: Array<Pair<String, JsonElement?>> ->
            harness.call("POST", "/submissions", submission(*changes))!!
        }
        val large = arrayOf<Pair<String, JsonElement?>>("bundle" to text("x".repeat(2_000)))
        val calls = harness.storeRequests.count { it == "POST /multi" }
        assertEquals(422, submit(large).first)
        assertEquals(calls, harness.storeRequests.count { it == "POST /multi" })
        assertEquals(null, harness.storedValue(JobRecord.key(id)))
        assertEquals(201, submit(emptyArray()).first)
        assertEquals(200, submit(large).first)
    }
}
