package wardmux.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.model.JobId
import wardmux.model.JobProgress
import wardmux.model.JobState
import wardmux.records.JobRecord
import wardmux.serialization.lenientJson
import wardmux.store.KeyValue

/** Provides the progress of jobs. */
fun interface JobProgressSource {
    /** The progress of [job]; null if this controller does not know it. */
    fun progressOf(job: JobId): JobProgress?
}

@Serializable
private class JobStatusResponse(
    @SerialName("name_id") val id: String,
    @SerialName("status") val status: String,
    @SerialName("done") val done: Int? = null,
    @SerialName("running") val running: Int? = null,
)

/** Answers the calls of users about jobs. */
class JobResponder(
    private val context: CoreContext,
    private val finalStates: FinalJobStates,
    private val openVersions: OpenJobVersions,
    private val progress: JobProgressSource,
) {
    /** Answers [call] with the [state] of [job], and with its progress if the job is open. */
    fun answerState(call: Long, status: Int, job: JobId, state: JobState) {
        val jobProgress = progress.progressOf(job)
        val running = jobProgress?.running ?: 0
        val text =
            when (state) {
                JobState.DONE -> "done"
                JobState.CANCELLED -> "cancelled"
                JobState.ACCEPTED -> if (running > 0) "running" else "queued"
            }
        val response =
            if (state == JobState.ACCEPTED)
                JobStatusResponse(job.value, text, jobProgress?.done ?: 0, running)
            else JobStatusResponse(job.value, text)
        val body = lenientJson.encodeToString(JobStatusResponse.serializer(), response)
        context.answer(call, status, body)
    }

    /** Answers [call] with the state of the open [job]. */
    fun answerOpen(call: Long, job: JobId) =
        answerState(call, HttpStatus.OK, job, JobState.ACCEPTED)

    /** Answers [call] if a final state of [job] is cached. Returns false if it is not. */
    fun answerIfFinal(call: Long, job: JobId): Boolean {
        val state = finalStates[job] ?: return false
        answerState(call, HttpStatus.OK, job, state)
        return true
    }

    /**
     * Answers [call] with the state in the record [item] of [job]. Caches that state if it is
     * final, and the version of the record if the job is open.
     */
    fun answerRecord(call: Long, job: JobId, item: KeyValue) {
        val state = JobRecord.decode(item.data)?.state ?: return answerUnavailable(call)
        if (state == JobState.ACCEPTED) openVersions.record(job, item.version)
        finalStates.record(job, state)
        answerState(call, HttpStatus.OK, job, state)
    }

    /** Answers [call], whose request is invalid, with an error that gives the [reason]. */
    fun answerError(call: Long, status: Int, reason: String) {
        val quoted = lenientJson.encodeToString(String.serializer(), reason)
        context.answer(call, status, """{"error":$quoted}""")
    }

    /** Answers [call] with an error, because its job was never accepted. */
    fun answerUnknownJob(call: Long) =
        context.answer(call, HttpStatus.NOT_FOUND, """{"error":"unknown job"}""")

    /**
     * Answers [call] with an error, because the key-value store is not available. The answer says
     * when to retry.
     */
    fun answerUnavailable(call: Long) =
        context.answer(
            call,
            HttpStatus.SERVICE_UNAVAILABLE,
            """{"error":"state service not available"}""",
            RETRY_AFTER_S,
        )

    private companion object {
        /** Time after which the user should retry, in seconds. */
        const val RETRY_AFTER_S = 1
    }
}
