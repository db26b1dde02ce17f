package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap
import wardmux.core.CoreContext
import wardmux.model.JobId
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.records.JobRecord
import wardmux.store.IgnoredValue
import wardmux.store.KeyValue
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition

/**
 * Questions that wait for a read. Answered in the order of who has waited longest; one read serves
 * all that came before it began. Of a job whose record was once seen as accepted, it is enough to
 * learn that the record has not changed since, and one request of the state service tells that for
 * many jobs: a transaction that only compares.
 */
class Polls(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val answer: (Long, JobId, Seen) -> Unit,
) {
    /** What a read that began after the question came has shown. */
    sealed interface Seen {
        /** Accepted, and not over. */
        data object Open : Seen

        class Record(val item: KeyValue) : Seen

        data object Absent : Seen

        /** The state service could not be asked. */
        data object Nothing : Seen
    }

    private class Question(val call: Long, val since: Micros)

    /** Jobs asked about, in the order of their oldest question. */
    private val waiting = LinkedHashMap<JobId, ArrayList<Question>>()

    /** Of jobs that were seen as accepted: the stamp that their record had. */
    private val open = Object2LongLinkedOpenHashMap<String>()
    private var comparing = 0
    private var reading = 0
    private var scanning = false

    fun learn(job: JobId, version: KeyVersion) {
        open.putAndMoveToLast(job.value, version.value)
        if (open.size > MOST_KNOWN) open.removeFirstLong()
    }

    fun forget(job: JobId) {
        open.removeLong(job.value)
    }

    fun ask(call: Long, job: JobId) {
        waiting.getOrPut(job) { ArrayList(1) }.add(Question(call, context.now))
        pump()
    }

    /**
     * Begins the reads that there is room for. What came while one was under way joins the next.
     */
    fun pump() {
        giveUp()
        while (waiting.isNotEmpty()) {
            val oldest = waiting.entries.first()
            val known = open.containsKey(oldest.key.value)
            when {
                known && comparing < MOST_AT_ONCE -> compare()
                !known && unknown() > WORTH_A_SCAN -> if (scanning) return else scan()
                !known && reading < MOST_READS -> {
                    waiting.remove(oldest.key)
                    read(oldest.key, oldest.value)
                }
                else -> return
            }
        }
    }

    private fun unknown() = waiting.keys.count { !open.containsKey(it.value) }

    /** Nobody listens to an answer that comes too late: these are told to ask again. */
    private fun giveUp() {
        val late = ArrayList<Pair<JobId, List<Question>>>()
        val jobs = waiting.entries.iterator()
        while (jobs.hasNext()) {
            val (job, questions) = jobs.next()
            // In order of their oldest question, so that no later one has waited longer.
            if (context.now - questions.first().since < PATIENCE) break
            late.add(job to questions)
            jobs.remove()
        }
        for ((job, questions) in late) tell(job, questions, Seen.Nothing)
    }

    private fun tell(job: JobId, questions: List<Question>, seen: Seen) {
        for (question in questions) answer(question.call, job, seen)
    }

    private fun compare() {
        val asked = LinkedHashMap<JobId, List<Question>>()
        val conditions = ArrayList<VersionCondition>()
        val jobs = waiting.entries.iterator()
        while (jobs.hasNext() && conditions.size < store.maxConditions) {
            val (job, questions) = jobs.next()
            if (!open.containsKey(job.value)) continue
            jobs.remove()
            asked[job] = questions
            conditions.add(
                VersionCondition(JobRecord.key(job), KeyVersion(open.getLong(job.value)))
            )
        }
        comparing++
        store.compareAndSwap(conditions, emptyList(), RequestPriority.READ) { result ->
            comparing--
            val changed = (result as? StoreResult.Conflict)?.failed.orEmpty().toSet()
            val told = result is StoreResult.Ok || changed.isNotEmpty()
            for ((job, questions) in asked) {
                when {
                    !told -> tell(job, questions, Seen.Nothing)
                    JobRecord.key(job) in changed -> {
                        forget(job)
                        read(job, questions)
                    }
                    else -> tell(job, questions, Seen.Open)
                }
            }
            pump()
        }
    }

    private fun read(job: JobId, questions: List<Question>) {
        reading++
        store.get(JobRecord.key(job)) { result ->
            reading--
            val seen =
                when (result) {
                    is StoreResult.Ok -> Seen.Record(result.value)
                    is StoreResult.NotFound -> Seen.Absent
                    else -> Seen.Nothing
                }
            tell(job, questions, seen)
            pump()
        }
    }

    /**
     * After a start much is asked about that this process has never seen. The list of open jobs was
     * written together with their records, so its stamps are theirs.
     */
    private fun scan() {
        scanning = true
        val asked = LinkedHashMap(waiting)
        waiting.clear()
        store.scan(JobRecord.OPEN_PREFIX, IgnoredValue.serializer(), RequestPriority.READ) { found
            ->
            scanning = false
            val listed = HashSet<JobId>()
            for (item in found?.items.orEmpty()) {
                val job = JobId(item.key.removePrefix(JobRecord.OPEN_PREFIX))
                listed.add(job)
                learn(job, item.version)
            }
            for ((job, questions) in asked) {
                when {
                    found == null -> tell(job, questions, Seen.Nothing)
                    job in listed -> tell(job, questions, Seen.Open)
                    else -> read(job, questions)
                }
            }
            pump()
        }
    }

    private companion object {
        const val MOST_KNOWN = 20_000
        const val MOST_AT_ONCE = 2
        const val MOST_READS = 16

        /** So many jobs not seen yet are learned of by one scan rather than one by one. */
        const val WORTH_A_SCAN = 12

        /** Users wait for two seconds. */
        val PATIENCE = 1_700.milliseconds
    }
}
