package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.config.TeamQuota
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobProgress
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.MachineType
import wardmux.model.MachineTypes
import wardmux.records.JobRecord
import wardmux.serialization.lenientJson
import wardmux.store.KeyValue
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

@Serializable
private class StatusWire(
    @SerialName("name_id") val id: String,
    @SerialName("status") val status: String,
    @SerialName("done") val done: Int? = null,
    @SerialName("running") val running: Int? = null,
)

/**
 * What users ask. Any controller writes a job's record itself, and answers only after the write; an
 * answer that isn't final rests on a read that began after the request came.
 */
class Intake(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val types: MachineTypes,
    teams: List<TeamQuota>,
    /** A user is about to be told that the job is cancelled. */
    private val cancelled: (JobId) -> Unit,
    private val progressOf: (JobId) -> JobProgress?,
) {
    private val log = logger<Intake>()
    private val teams = teams.associateBy { it.name }

    /** Final states never change, so they may be answered from memory. */
    private val finals = Object2ObjectLinkedOpenHashMap<String, JobState>()

    private val polls = Polls(context, store, ::answerPoll)

    fun learnFinal(job: JobId, state: JobState) {
        if (state == JobState.ACCEPTED) return
        if (state == JobState.CANCELLED) cancelled(job)
        polls.forget(job)
        finals.putAndMoveToLast(job.value, state)
        if (finals.size > MAX_FINALS) finals.removeFirst()
    }

    fun submit(call: Long, body: ByteArray) {
        when (val submission = SubmissionReader.read(body)) {
            is Submission.Malformed -> refuse(call, submission.id, 400, submission.why)
            is Submission.Good -> {
                val spec = submission.spec
                val final = finals[spec.id]
                if (final != null) return answerFinal(call, spec.jobId, final)
                val known = types.types
                when {
                    known == null -> settle(call, spec.jobId) { later(call) }
                    neverRuns(spec, known) != null ->
                        refuse(call, spec.jobId, 422, neverRuns(spec, known).orEmpty())
                    else -> acceptFitting(call, spec, known)
                }
            }
        }
    }

    /** A known job is never told that it is malformed or can't run, whatever the repeat says. */
    private fun refuse(call: Long, id: JobId?, status: Int, why: String) {
        val answer = {
            log.debug("refused with {}: {}", status, why)
            context.answer(call, status, """{"error":${quote(why)}}""")
        }
        if (id == null) answer() else settle(call, id, answer)
    }

    private fun quote(text: String) =
        lenientJson.encodeToString(kotlinx.serialization.serializer<String>(), text)

    /** Answers with the state of a job that is known, or as [unknown] says. */
    private fun settle(call: Long, id: JobId, unknown: () -> Unit) {
        store.get(JobRecord.key(id)) { result ->
            when (result) {
                is StoreResult.Ok -> answerRecord(call, id, result.value)
                is StoreResult.Absent -> unknown()
                else -> later(call)
            }
        }
    }

    /** Why the job can never run, or null. */
    private fun neverRuns(spec: JobSpec, known: List<MachineType>): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val allowed = known.filter { it.allowedFor(spec) }
        if (allowed.isEmpty()) return "a task fits no allowed machine type"
        if (tooFewZones(spec, allowed)) return "may not be in as few zones as it has to"
        val tasks = if (spec.shape == JobKind.ARRAY) 1 else spec.tasks
        val slack = MachineType.EPSILON
        return if (
            spec.cpus * tasks > team.cpusMax + slack || spec.gpus * tasks > team.gpusMax + slack
        )
            "more than the team's limit"
        else null
    }

    /**
     * An array's tasks may run one after the other. All others have to be there together, which one
     * zone can't give to those that may not all be in one.
     */
    private fun tooFewZones(spec: JobSpec, allowed: List<MachineType>): Boolean {
        if (spec.shape == JobKind.ARRAY || !spec.spread) return false
        val zones =
            if (spec.zone != null || spec.oneZone) 1 else allowed.flatMap { it.zones }.toSet().size
        return spec.zoneLimit * zones < spec.tasks
    }

    /** What can't be recorded can never run. */
    private fun acceptFitting(call: Long, spec: JobSpec, known: List<MachineType>) {
        val useful = known.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
        val kept = JobRecord.fitting(spec, useful, mostRecordBytes)
        if (kept == null) refuse(call, spec.jobId, 422, TOO_LARGE) else accept(call, kept)
    }

    /** A record is written twice in the transaction that accepts it. */
    private val mostRecordBytes: Int
        get() = minOf(store.maxValueBytes, MAX_TWICE)

    private fun accept(call: Long, spec: JobSpec) {
        val id = spec.jobId
        val record = JobRecord(JobState.ACCEPTED, context.wallTime.value, spec).toJson()
        val changes =
            listOf(
                WriteOperation(put = JobRecord.key(id), data = record),
                WriteOperation(put = JobRecord.openKey(id), data = record),
            )
        val absent = listOf(VersionCondition(JobRecord.key(id), 0))
        store.multi(absent, changes, RequestPriority.USER_WRITE) { result ->
            when (result) {
                is StoreResult.Ok -> {
                    polls.learn(id, KeyVersion(result.value))
                    log.info(
                        "{} accepted: {} {} tasks of {} CPUs for {}",
                        id,
                        spec.tasks,
                        spec.jobClass,
                        spec.cpus,
                        spec.team,
                    )
                    answerState(call, HttpStatus.CREATED, id, JobState.ACCEPTED)
                }
                is StoreResult.Conflict -> settle(call, id) { later(call) }
                // Perhaps written: read before anything is said.
                is StoreResult.Indeterminate -> settle(call, id) { later(call) }
                // Found too large by how the service counts; it is not asked that again.
                is StoreResult.Invalid ->
                    if (JobRecord.takes(spec) > mostRecordBytes) refuse(call, id, 422, TOO_LARGE)
                    else later(call)
                else -> later(call)
            }
        }
    }

    fun poll(call: Long, id: JobId) {
        val final = finals[id.value]
        if (final != null) return answerFinal(call, id, final)
        polls.ask(call, id)
    }

    private fun answerPoll(call: Long, id: JobId, seen: Polls.Seen) {
        // Learned while the read was under way; what the read saw is older.
        val final = finals[id.value]
        if (final != null) return answerFinal(call, id, final)
        when (seen) {
            is Polls.Seen.Open -> answerState(call, 200, id, JobState.ACCEPTED)
            is Polls.Seen.Record -> answerRecord(call, id, seen.item)
            is Polls.Seen.Absent -> context.answer(call, 404, """{"error":"unknown job"}""")
            is Polls.Seen.Nothing -> later(call)
        }
    }

    /** Reads what waits for it. */
    fun tick() = polls.pump()

    fun abort(call: Long, id: JobId, tries: Int = 3) {
        val final = finals[id.value]
        if (final != null) return answerFinal(call, id, final)
        store.get(JobRecord.key(id)) { result ->
            when (result) {
                is StoreResult.Ok -> {
                    val record = JobRecord.of(result.value.data)
                    if (record?.state == JobState.ACCEPTED)
                        cancel(call, id, result.value, record, tries)
                    else answerRecord(call, id, result.value)
                }
                is StoreResult.Absent -> context.answer(call, 404, """{"error":"unknown job"}""")
                else -> later(call)
            }
        }
    }

    private fun cancel(call: Long, id: JobId, item: KeyValue, record: JobRecord, tries: Int) {
        val cancelled = record.cancelled(store.maxValueBytes).toJson()
        val changes =
            listOf(
                WriteOperation(put = JobRecord.key(id), data = cancelled),
                WriteOperation(put = JobRecord.cancelledKey(id), data = cancelled),
                WriteOperation(remove = JobRecord.openKey(id)),
            )
        val unchanged = listOf(VersionCondition(JobRecord.key(id), item.version))
        store.multi(unchanged, changes, RequestPriority.USER_WRITE) { result ->
            when {
                result is StoreResult.Ok -> {
                    log.info("{} cancelled by its user", id)
                    learnFinal(id, JobState.CANCELLED)
                    answerState(call, 200, id, JobState.CANCELLED)
                }
                // Changed meanwhile, or perhaps written: the record tells.
                (result is StoreResult.Conflict || result is StoreResult.Indeterminate) &&
                    tries > 0 -> abort(call, id, tries - 1)
                else -> later(call)
            }
        }
    }

    private fun answerRecord(call: Long, id: JobId, item: KeyValue) {
        val state = JobRecord.of(item.data)?.state ?: return later(call)
        if (state == JobState.ACCEPTED) polls.learn(id, KeyVersion(item.version))
        learnFinal(id, state)
        answerState(call, 200, id, state)
    }

    private fun answerFinal(call: Long, id: JobId, state: JobState) =
        answerState(call, 200, id, state)

    private fun answerState(call: Long, status: Int, id: JobId, state: JobState) {
        val progress = progressOf(id)
        val running = progress?.running ?: 0
        val text =
            when (state) {
                JobState.DONE -> "done"
                JobState.CANCELLED -> "cancelled"
                JobState.ACCEPTED -> if (running > 0) "running" else "queued"
            }
        val wire =
            if (state == JobState.ACCEPTED) StatusWire(id.value, text, progress?.done ?: 0, running)
            else StatusWire(id.value, text)
        context.answer(call, status, lenientJson.encodeToString(StatusWire.serializer(), wire))
    }

    /** Can't be taken now; said at once, with when to come back. */
    private fun later(call: Long) =
        context.answer(call, 503, """{"error":"state service not available"}""", RETRY_AFTER_S)

    private companion object {
        const val MAX_FINALS = 20_000

        /** Well below half of the 64 KiB that a transaction may hold. */
        const val MAX_TWICE = 30_000
        const val TOO_LARGE = "its record is larger than the state service may come to hold"
        const val RETRY_AFTER_S = 1
    }
}
