package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet
import kotlinx.serialization.json.JsonElement
import wardmux.logging.logger
import wardmux.records.StoredPage
import wardmux.serialization.jsonBytes

/** What a task asks of its machine. */
data class ResourceRequest(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
)

/** A page as it is to be written, and the tasks that it says are done. */
class PageContent(val data: JsonElement, val done: BitSet)

/** One try of a gang as a whole. */
class GangAttempt(
    val number: Int,
    val since: Micros,
    /** All had gathered once: without one of them the others can't go on. */
    var ran: Boolean = false,
) {
    /** It comes to nothing any more: what is left of it has to be gone before the next. */
    var broken = false
}

/**
 * A job with its tasks: one class of like work. Waiting tasks are those never tried, in order, and
 * then those that came back; a large job costs no more here than a small one.
 */
class Job(val spec: JobSpec, val version: KeyVersion, val acceptedAt: Micros, val pageSize: Int) {
    val id: JobId = spec.jobId

    /** Jobs with the same need find the same machines. */
    val resourceRequest =
        ResourceRequest(spec.cpus, spec.gpus, spec.memoryGb, spec.types, spec.zone, spec.spot)

    /** Where its tasks may go depends on where its others are. */
    val isZoneBound: Boolean
        get() = spec.oneZone || spec.spread

    val placements = Int2ObjectOpenHashMap<Placement>()
    private val done = BitSet()
    private val recorded = BitSet()
    private val attempts = Int2IntOpenHashMap()
    private val requeued = IntArrayFIFOQueue()
    private var nextUntried = 0
    private val pageVersions = Int2LongOpenHashMap()
    private val dirty = IntOpenHashSet()

    /** Placements of each page that no write holds yet. */
    private val planned = Int2IntOpenHashMap()

    /** Since when a page differs from what is stored of it in no more than how its tasks ended. */
    var dirtySince: Micros? = null
        private set

    /** Tasks that were reported as running, for display. */
    val running: Int
        get() = placements.values.count { it.runningSince != null }

    /** What the job's record says; only an open job has tasks started. */
    var phase = JobPhase.OPEN

    /** Cancelled or done: nothing starts any more, and what is left on machines is stopped. */
    val hasEnded: Boolean
        get() = phase != JobPhase.OPEN

    /**
     * The earliest moment at which a user may have been told that it is cancelled. Not when this
     * leader learned of it: a succession of leaders must not begin the time anew.
     */
    var cancelledSince = Micros.LONG_AGO

    /** The job's record says that it is done. */
    val isDone: Boolean
        get() = phase == JobPhase.DONE

    val isCancelled: Boolean
        get() = phase == JobPhase.CANCELLED

    /** Nothing that is stored of it says any more that something may be on a machine. */
    val isRemovable: Boolean
        get() = hasEnded && placements.isEmpty() && pageVersions.isEmpty() && (isDone || unlisted)

    /** No longer listed among the cancelled jobs of which something is left. */
    var unlisted = false

    /** Machines on which tasks of this job failed since one of them last completed. */
    val failedMachines = HashSet<MachineId>()
    var backoffUntil = Micros.LONG_AGO

    /** Since when a task that could run has not been placed; null while none waits for room. */
    var blockedSince: Micros? = null

    /** It has waited for room for longer than what comes free as a matter of course. */
    fun isBlockedLong(now: Micros) = blockedSince?.let { now - it > SCARCE_AFTER } == true

    /** When others were last stopped to give its team the guarantee. */
    var lastReclaimAt = Micros.LONG_AGO

    val doneCount: Int
        get() = done.cardinality()

    val waiting: Int
        get() =
            if (hasEnded) 0
            // Of a gang all are done at once, those on their machines too.
            else (spec.tasks - done.cardinality() - placements.size).coerceAtLeast(0)

    /** The gang's attempt that is out, or was last. */
    var gang: GangAttempt? = null
        private set

    /**
     * Its stored placements name one charge for all. A gang's tasks are placed together and cost
     * the same; those of a service never complete, so what they were charged is never corrected.
     */
    val sharesCharge: Boolean
        get() = spec.shape != JobKind.ARRAY

    /** Larger than any before. */
    val nextGangAttempt: Int
        get() = (attempts.values.maxOrNull() ?: 0) + 1

    /** All tasks of a gang get one number, and are placed in their order: each page's together. */
    fun beginAttempt(now: Micros) {
        gang = GangAttempt(nextGangAttempt, now)
        requeued.clear()
        nextUntried = 0
    }

    /** What would be started without the others is not started: all have to be recorded. */
    val mayStart: Boolean
        get() =
            !spec.isGang ||
                (gang?.broken == false &&
                    placements.size == spec.tasks &&
                    placements.values.all { it.isCommitted })

    val allTasksDone: Boolean
        get() = done.cardinality() == spec.tasks

    /** Failing on several machines: the job is at fault, and stands behind its team's others. */
    val isFailing: Boolean
        get() = failedMachines.size >= FAULTY_MACHINES

    /** A task of it was started once. */
    val hasStarted: Boolean
        get() = !placements.isEmpty() || !attempts.isEmpty()

    /** Tasks that were started once, are not done and are not placed now. */
    val interrupted: List<Int>
        get() =
            attempts
                .int2IntEntrySet()
                .filter { it.intValue > 0 && free(it.intKey) }
                .map { it.intKey }

    fun isTaskDone(task: Int) = done.get(task)

    fun isRecorded(task: Int) = isDone || recorded.get(task)

    /** The next waiting task, or -1. */
    fun takeWaiting(): Int {
        while (nextUntried < spec.tasks) {
            val task = nextUntried++
            if (free(task) && (spec.isGang || !attempts.containsKey(task))) return task
        }
        while (!requeued.isEmpty) {
            val task = requeued.dequeueInt()
            if (free(task)) return task
        }
        return -1
    }

    /** Its page is full for now: its turn comes after that of all others, with its page's rest. */
    fun setAside(task: Int) {
        requeued.enqueue(task)
        val end = lastOf(task) + 1
        if (nextUntried <= task || nextUntried > end) return
        while (nextUntried < end) {
            val next = nextUntried++
            if (free(next) && !attempts.containsKey(next)) requeued.enqueue(next)
        }
    }

    fun putBack(task: Int) = requeued.enqueueFirst(task)

    private fun free(task: Int) = !done.get(task) && !placements.containsKey(task)

    fun nextAttempt(task: Int) = gang?.number ?: (attempts.get(task) + 1)

    fun place(placement: Placement, wall: Micros) {
        placements.put(placement.task.index, placement)
        attempts.put(placement.task.index, placement.attempt)
        planned.addTo(placement.task.index / pageSize, 1)
        touch(placement.task.index, wall)
    }

    /** Its record is written. */
    fun commit(placement: Placement) {
        if (placement.isCommitted) return
        placement.isCommitted = true
        val task = placement.task.index
        if (placements.get(task) === placement) planned.addTo(task / pageSize, -1)
    }

    /** Proven gone; the task waits again unless it is done. */
    fun release(placement: Placement, wall: Micros) {
        val task = placement.task.index
        if (placements.get(task) !== placement) return
        placements.remove(task)
        if (!placement.isCommitted) planned.addTo(task / pageSize, -1)
        touch(task, wall)
        if (!done.get(task)) requeued.enqueue(task)
    }

    /** The placement was never written, so its attempt number is free again. */
    fun undo(placement: Placement, wall: Micros) {
        attempts.put(placement.task.index, placement.attempt - 1)
        release(placement, wall)
    }

    fun complete(task: Int, wall: Micros) {
        if (done.get(task)) return
        done.set(task)
        touch(task, wall)
    }

    private fun touch(task: Int, wall: Micros) {
        dirty.add(task / pageSize)
        if (dirtySince == null) dirtySince = wall
    }

    fun dirtyPages(): IntArray =
        if (dirty.isEmpty()) NO_PAGES else dirty.toIntArray().also { it.sort() }

    fun storedPages(): IntArray = pageVersions.keys.toIntArray().also { it.sort() }

    fun pageVersion(page: Int): Long = pageVersions.get(page)

    fun hasPlanned(page: Int): Boolean = planned.get(page) > 0

    fun placementsOf(page: Int): List<Placement> {
        val from = page * pageSize
        return if (placements.size < pageSize) {
            placements.values.filter { it.task.index / pageSize == page }
        } else {
            (from until from + pageSize).mapNotNull { placements.get(it) }
        }
    }

    /** The last task on the page of [task]. */
    fun lastOf(task: Int): Int = minOf((task / pageSize + 1) * pageSize, spec.tasks) - 1

    /** Tasks of the page that were tried and are not done. */
    fun openIn(page: Int): Int {
        val from = page * pageSize
        val to = minOf(from + pageSize, spec.tasks)
        return (from until to).count { !done.get(it) && attempts.get(it) > 0 }
    }

    /** What the page holds now; the caller writes it and then calls [written]. */
    fun page(page: Int): JsonElement = page(page, Int.MAX_VALUE).data

    /**
     * The same in [mostBytes], if leaving out some done tasks helps: those between tasks that are
     * not, each of which takes two numbers. They stand among the tried ones until their neighbours
     * end, and their machines keep the result until they are recorded. One that is recorded, and
     * perhaps forgotten, is left out only where nothing of the page is out, as then nothing else
     * would ever make room: after a change of leaders it runs once more.
     */
    fun page(page: Int, mostBytes: Int): PageContent {
        val runs = doneRuns(page)
        val whole = page(page, runs, BitSet())
        var over = jsonBytes(whole.data) - mostBytes
        if (over <= 0) return whole
        val leftOut = BitSet()
        val nothingOut = placementsOf(page).none { it.isCommitted }
        val single =
            runs
                .filter { it.first == it.last && !placements.containsKey(it.first) }
                .map { it.first }
                .filter { nothingOut || !recorded.get(it) }
        for (task in single.sortedBy { recorded.get(it) }) {
            if (over + SEPARATORS <= 0) break
            leftOut.set(task)
            over -= task.toString().length - lastAttempt(task).toString().length
        }
        return page(page, runs, leftOut)
    }

    private fun doneRuns(page: Int): List<IntRange> {
        val from = page * pageSize
        val to = minOf(from + pageSize, spec.tasks)
        val runs = ArrayList<IntRange>()
        var start = done.nextSetBit(from)
        while (start in from until to) {
            val end = minOf(done.nextClearBit(start), to)
            runs.add(start until end)
            start = done.nextSetBit(end)
        }
        return runs
    }

    /** One that was read as done has no attempt on record. */
    private fun lastAttempt(task: Int) = maxOf(1, attempts.get(task))

    private fun page(page: Int, runs: List<IntRange>, leftOut: BitSet): PageContent {
        val from = page * pageSize
        val to = minOf(from + pageSize, spec.tasks)
        val kept = runs.filter { !leftOut.get(it.first) }
        val tried = ArrayList<Int>()
        for (task in from until to) {
            if (leftOut.get(task) || free(task) && attempts.get(task) > 0) {
                tried.add(task)
                tried.add(lastAttempt(task))
            }
        }
        val done = BitSet().apply { for (run in kept) set(run.first, run.last + 1) }
        val numbers = kept.flatMap { listOf(it.first, it.last) }
        return PageContent(StoredPage.of(numbers, placementsOf(page), tried), done)
    }

    /** The page as it was at [doneThen] is stored now. */
    fun written(page: Int, version: Long, doneThen: BitSet) {
        pageVersions.put(page, version)
        recorded.clear(page * pageSize, (page + 1) * pageSize)
        recorded.or(doneThen)
    }

    fun clean(page: Int) {
        dirty.remove(page)
        if (dirty.isEmpty()) dirtySince = null
    }

    fun markDirty(page: Int, wall: Micros) {
        dirty.add(page)
        if (dirtySince == null) dirtySince = wall
    }

    fun forgetPage(page: Int) {
        pageVersions.remove(page)
        clean(page)
    }

    /** At take-over: what a stored page says. */
    fun load(page: Int, version: Long, stored: StoredPage?): List<Placement> {
        pageVersions.put(page, version)
        val placed = stored?.placementsOf(this)
        if (placed == null) {
            logger<Job>().error("page {} of {} can't be read", page, id)
            return emptyList()
        }
        for (i in stored.done.indices step 2) {
            done.set(stored.done[i], stored.done[i + 1] + 1)
            recorded.set(stored.done[i], stored.done[i + 1] + 1)
        }
        for (i in stored.tried.indices step 2) {
            attempts.put(stored.tried[i], stored.tried[i + 1])
            requeued.enqueue(stored.tried[i])
        }
        return placed.onEach { placement ->
            placement.isCommitted = true
            placement.isRestored = true
            placements.put(placement.task.index, placement)
            attempts.put(placement.task.index, placement.attempt)
            // How far it came is not known, so nothing of it is replaced.
            if (spec.isGang) gang = GangAttempt(placement.attempt, Micros.LONG_AGO, ran = true)
        }
    }

    companion object {
        const val FAULTY_MACHINES = 2
        private val SCARCE_AFTER = 4.seconds

        /** Keeps the pages of all jobs; a page's key is `t/<job>/<page>`. */
        const val PAGES = "t/"

        /**
         * A placement's record takes at most about this much, on a machine of its own and charged
         * unlike all others, so that a page fits a value. As a rule it takes a quarter of that.
         */
        const val BYTES_A_TASK = 64

        /** At the ends of the two lists that a task moves between. */
        private const val SEPARATORS = 4
        private val NO_PAGES = IntArray(0)

        fun pageKey(job: JobId, page: Int) = "$PAGES${job.value}/$page"

        fun pageSize(maxValueBytes: Int) = (maxValueBytes / BYTES_A_TASK).coerceAtLeast(1)
    }
}
