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

/**
 * Tests the answers to repeated, infeasible, malformed and oversized submissions, and to
 * cancellations. Guards against reporting an accepted job as refused when its user retries the
 * submission, and against storing jobs that can never run.
 */
class SubmissionAnswersTest {
    private val harness = ControllerHarness().also { it.run(2.seconds) }
    private val id = JobId("job-000412")
    private val spec = (SubmissionReader.read(submission()) as Submission.WellFormed).spec

    private fun submit(vararg changes: Pair<String, JsonElement?>) =
        harness.call("POST", "/submissions", submission(*changes))!!

    private fun cancel() = harness.call("POST", "/submissions/${id.value}/abort")!!

    private fun writeRecord(state: JobState) =
        harness.write(JobRecord.key(id), JobRecord(state, 0, spec).toJson())

    /**
     * Changes in repeated submissions of the same job: none, two that would make it infeasible, and
     * one that removes a required field.
     */
    private val changesOfRepeats =
        listOf(
            emptyArray(),
            arrayOf<Pair<String, JsonElement?>>("cores" to JsonPrimitive(9e6)),
            arrayOf<Pair<String, JsonElement?>>("owner" to JsonPrimitive("nobody")),
            arrayOf<Pair<String, JsonElement?>>("scatter" to null),
        )

    @Test
    fun `any repeated submission of an unfinished job gets 200 with the job's state`() {
        assertEquals(201, submit().first)
        for (repeat in changesOfRepeats) {
            val (status, text) = submit(*repeat)
            assertEquals(200, status, text)
            assertContains(text, "\"queued\"")
        }
    }

    @Test
    fun `repeated submissions and cancellations of a finished job get 200 from any process`() {
        for ((state, statusText) in
            listOf(JobState.DONE to "done", JobState.CANCELLED to "cancelled")) {
            for (repeat in changesOfRepeats) {
                // A new process has not cached the job's state, so it has to read the record.
                val harness = ControllerHarness().also { it.run(2.seconds) }
                harness.write(JobRecord.key(id), JobRecord(state, 0, spec).toJson())
                val recordBefore = harness.storedValue(JobRecord.key(id))
                val answers =
                    listOf(
                        harness.call("POST", "/submissions", submission(*repeat)),
                        harness.call("POST", "/submissions/${id.value}/abort"),
                        harness.call("POST", "/submissions", submission(*repeat)),
                        harness.call("GET", "/submissions/${id.value}"),
                    )
                for (answer in answers) {
                    assertEquals(200, answer?.first, answer?.second)
                    assertContains(answer!!.second, "\"$statusText\"")
                }
                assertEquals(recordBefore, harness.storedValue(JobRecord.key(id)))
            }
        }
    }

    @Test
    fun `cancelling a job that was never submitted gets 404 and stores nothing`() {
        assertEquals(404, cancel().first)
        assertEquals(null, harness.storedValue(JobRecord.key(id)))
    }

    private fun json(value: String) = JsonPrimitive(value)

    private val service = "shape" to json("daemon")
    private val gang = "shape" to json("group")
    private val threeTasks = "pieces" to JsonPrimitive(3)
    private val inOneZone = "same_place" to JsonPrimitive(true)
    private val spread = "scatter" to JsonPrimitive(true)

    @Test
    fun `an infeasible job gets 422 and is not stored`() {
        val infeasible =
            listOf<Array<Pair<String, JsonElement?>>>(
                arrayOf("owner" to json("nobody")),
                arrayOf("cores" to JsonPrimitive(17.0)),
                arrayOf("mem_gb" to JsonPrimitive(65.0)),
                arrayOf("gpus" to JsonPrimitive(1.0)),
                arrayOf("ward" to json("z")),
                arrayOf("boxkinds" to JsonArray(listOf(json("none")))),
                arrayOf("boxkinds" to JsonArray(emptyList())),
                // These need more CPUs than the team's maximum quota of 64.
                arrayOf(service, "pieces" to JsonPrimitive(9)),
                arrayOf(gang, "pieces" to JsonPrimitive(9)),
                // These require all tasks in one zone and at most half of the tasks in any zone.
                arrayOf(service, threeTasks, inOneZone, spread),
                arrayOf(gang, threeTasks, inOneZone, spread),
                arrayOf(service, threeTasks, spread, "ward" to json("a")),
                arrayOf(gang, threeTasks, spread, "ward" to json("a")),
            )
        for (changes in infeasible) {
            val (status, text) = submit(*changes)
            assertEquals(422, status, "${changes.toList()}: $text")
            assertEquals(null, harness.storedValue(JobRecord.key(id)))
        }
    }

    @Test
    fun `jobs at the limits of feasibility are accepted`() {
        val feasible =
            listOf<Array<Pair<String, JsonElement?>>>(
                arrayOf("cores" to JsonPrimitive(16.0), "mem_gb" to JsonPrimitive(64.0)),
                arrayOf(service, "pieces" to JsonPrimitive(8)),
                arrayOf(gang, threeTasks, spread),
                arrayOf(service, "pieces" to JsonPrimitive(1), inOneZone, spread),
                // The tasks of an array job may run one after the other, so they need no spreading.
                arrayOf(threeTasks, inOneZone, spread),
                arrayOf(threeTasks, spread, "ward" to json("a")),
            )
        for ((i, changes) in feasible.withIndex()) {
            val (status, text) = submit("name_id" to json("job-00050$i"), *changes)
            assertEquals(201, status, "${changes.toList()}: $text")
        }
    }

    @Test
    fun `a submission that lacks a field gets 400 and is not stored`() {
        for (field in VALID_SUBMISSION_FIELDS.keys - setOf("boxkinds", "ward", "due_s")) {
            assertEquals(400, submit(field to null).first, field)
            assertEquals(null, harness.storedValue(JobRecord.key(id)), field)
        }
        assertEquals(400, submit("pieces" to JsonPrimitive(0)).first)
    }

    private val loweredLimits = AnnouncedStoreLimits(valueKb = 2.0)
    private val manyMachineTypes =
        JsonArray(List(300) { json("kind-%03d".format(it)) } + List(300) { json("mid") })

    @Test
    fun `a job whose record fits after removing unusable machine types is accepted`() {
        for (announced in listOf(null, loweredLimits)) {
            val harness = ControllerHarness(announcedLimits = announced).also { it.run(2.seconds) }
            if (announced != null) harness.lowerStoreLimits(announced)
            val longText = json("x".repeat(600))
            val body =
                submission(
                    "boxkinds" to manyMachineTypes,
                    "bundle" to longText,
                    "jobclass" to longText,
                )
            assertEquals(201, harness.call("POST", "/submissions", body)?.first)
            val recordedSpec = JobRecord.decode(harness.storedValue(JobRecord.key(id))!!)?.spec
            assertEquals(600 to 600, recordedSpec?.let { it.image.length to it.jobClass.length })
            assertEquals(listOf("mid"), recordedSpec?.types)
            val cancelled = harness.call("POST", "/submissions/${id.value}/abort")
            assertEquals(200, cancelled?.first)
        }
    }

    @Test
    fun `an oversized submission gets 422 without a write, or the job's state if it is recorded`() {
        val harness = ControllerHarness(announcedLimits = loweredLimits).also { it.run(2.seconds) }
        harness.lowerStoreLimits(loweredLimits)
        val submit = { changes: Array<Pair<String, JsonElement?>> ->
            harness.call("POST", "/submissions", submission(*changes))!!
        }
        val largeSubmission =
            arrayOf<Pair<String, JsonElement?>>("bundle" to json("x".repeat(2_000)))
        val writesBefore = harness.storeRequests.count { it == "POST /multi" }
        assertEquals(422, submit(largeSubmission).first)
        assertEquals(writesBefore, harness.storeRequests.count { it == "POST /multi" })
        assertEquals(null, harness.storedValue(JobRecord.key(id)))
        assertEquals(201, submit(emptyArray()).first)
        assertEquals(200, submit(largeSubmission).first)
    }
}
