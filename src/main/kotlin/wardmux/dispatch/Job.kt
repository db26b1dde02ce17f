package wardmux.dispatch

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.JobId
import wardmux.MachineId
import wardmux.Micros
import wardmux.Stamp
import wardmux.TaskId
import wardmux.fleet.Placement
import wardmux.intake.JobSpec
import wardmux.store.lenientJson

@Serializable
data class PlacementWire(
    val task: Int,
    val attempt: Int,
    val machine: String,
    val shift: Long,
    val zone: String,
    val cost: Long,
    val weight: Double,
    val at: Long,
)

/** A stretch of a job's tasks, as it is kept: done tasks as runs, placements, last attempts. */
@Serializable
class PageWire(
    /** First and last of each run of done tasks. */
    val d: List<Int> = emptyList(),
    /** Five numbers a placement beside its machine: see [Job.page]. */
    val p: List<PlacementWire> = emptyList(),
    /** Task and last attempt, for those that are neither done nor placed. */
    val a: List<Int> = emptyList(),
)

/**
 * A job with its tasks: one class of like work. Waiting tasks are those never tried, in order, and
 * then those that came back; a large job costs no more here than a small one.
 */
class Job(val spec: JobSpec, val stamp: Stamp, val acceptedAt: Micros, val pageSize: Int) {
    val id: JobId = spec.jobId
    val placements = Int2ObjectOpenHashMap<Placement>()
    private val done = BitSet()
    private val recorded = BitSet()
    private val attempts = Int2IntOpenHashMap()
    private val cameBack = IntArrayFIFOQueue()
    private var nextFresh = 0
    private val pageStamps = Int2LongOpenHashMap()
    private val dirty = IntOpenHashSet()

    /** Cancelled or done: nothing starts any more, and what is left is taken down. */
    var over = false

    /** The record says done. */
    var finished = false

    /** Machines on which tasks of this job failed since one of them last completed. */
    val failedOn = HashSet<MachineId>()
    var notBefore = Micros.LONG_AGO

    /** Since when a task that could run has not been placed; null while none waits for room. */
    var blockedSince: Micros? = null

    /** When others were last stopped to give its team the guarantee. */
    var calledBackAt = Micros.LONG_AGO

    val doneCount: Int
        get() = done.cardinality()

    val waiting: Int
        get() = if (over) 0 else spec.tasks - done.cardinality() - placements.size

    val complete: Boolean
        get() = done.cardinality() == spec.tasks

    /** Failing on several machines: the job is at fault, and stands behind its team's others. */
    val atFault: Boolean
        get() = failedOn.size >= FAULTY_MACHINES

    fun isDone(task: Int) = done.get(task)

    fun isRecorded(task: Int) = finished || recorded.get(task)

    /** The next waiting task, or -1. */
    fun takeWaiting(): Int {
        while (nextFresh < spec.tasks) {
            val task = nextFresh++
            if (free(task) && !attempts.containsKey(task)) return task
        }
        while (!cameBack.isEmpty) {
            val task = cameBack.dequeueInt()
            if (free(task)) return task
        }
        return -1
    }

    fun putBack(task: Int) = cameBack.enqueueFirst(task)

    private fun free(task: Int) = !done.get(task) && !placements.containsKey(task)

    fun nextAttempt(task: Int) = attempts.get(task) + 1

    fun place(placement: Placement) {
        placements.put(placement.task.index, placement)
        attempts.put(placement.task.index, placement.attempt)
        touch(placement.task.index)
    }

    /** Proven gone; the task waits again unless it is done. */
    fun release(placement: Placement) {
        val task = placement.task.index
        if (placements.get(task) !== placement) return
        placements.remove(task)
        touch(task)
        if (!done.get(task)) cameBack.enqueue(task)
    }

    /** The placement was never written, so its attempt number is free again. */
    fun undo(placement: Placement) {
        attempts.put(placement.task.index, placement.attempt - 1)
        release(placement)
    }

    fun complete(task: Int) {
        if (done.get(task)) return
        done.set(task)
        touch(task)
    }

    private fun touch(task: Int) {
        dirty.add(task / pageSize)
    }

    fun dirtyPages(): IntArray = dirty.toIntArray().also { it.sort() }

    fun storedPages(): IntArray = pageStamps.keys.toIntArray().also { it.sort() }

    fun pageStamp(page: Int): Long = pageStamps.get(page)

    fun hasPlanned(page: Int): Boolean = placementsOf(page).any { !it.committed }

    fun placementsOf(page: Int): List<Placement> {
        val from = page * pageSize
        return if (placements.size < pageSize) {
            placements.values.filter { it.task.index / pageSize == page }
        } else {
            (from until from + pageSize).mapNotNull { placements.get(it) }
        }
    }

    /** What the page holds now; the caller writes it and then calls [written]. */
    fun page(page: Int): JsonElement {
        val from = page * pageSize
        val to = minOf(from + pageSize, spec.tasks)
        val runs = ArrayList<Int>()
        var start = done.nextSetBit(from)
        while (start in from until to) {
            val end = minOf(done.nextClearBit(start), to)
            runs.add(start)
            runs.add(end - 1)
            start = done.nextSetBit(end)
        }
        val placed = placementsOf(page).map { it.toWire() }
        val tried = ArrayList<Int>()
        for (task in from until to) {
            if (free(task) && attempts.get(task) > 0) {
                tried.add(task)
                tried.add(attempts.get(task))
            }
        }
        return lenientJson.encodeToJsonElement(PageWire.serializer(), PageWire(runs, placed, tried))
    }

    /** The page as it was at [doneThen] is stored now. */
    fun written(page: Int, stamp: Long, doneThen: BitSet) {
        pageStamps.put(page, stamp)
        recorded.or(doneThen)
    }

    fun doneIn(page: Int): BitSet {
        val to = minOf((page + 1) * pageSize, spec.tasks)
        val copy = BitSet()
        var task = done.nextSetBit(page * pageSize)
        while (task in 0 until to) {
            copy.set(task)
            task = done.nextSetBit(task + 1)
        }
        return copy
    }

    fun clean(page: Int) {
        dirty.remove(page)
    }

    fun soil(page: Int) {
        dirty.add(page)
    }

    fun forgetPage(page: Int) {
        pageStamps.remove(page)
        dirty.remove(page)
    }

    /** At take-over: what a stored page says. */
    fun load(page: Int, stamp: Long, json: JsonElement): List<Placement> {
        val wire = lenientJson.decodeFromJsonElement(PageWire.serializer(), json)
        pageStamps.put(page, stamp)
        for (i in wire.d.indices step 2) {
            done.set(wire.d[i], wire.d[i + 1] + 1)
            recorded.set(wire.d[i], wire.d[i + 1] + 1)
        }
        for (i in wire.a.indices step 2) {
            attempts.put(wire.a[i], wire.a[i + 1])
            cameBack.enqueue(wire.a[i])
        }
        return wire.p.map { saved ->
            val placement =
                Placement(
                    this,
                    TaskId(id, saved.task),
                    saved.attempt,
                    MachineId(saved.machine),
                    saved.shift,
                    saved.zone,
                    Charge(Cost(saved.cost), saved.weight),
                    Micros(saved.at),
                )
            placement.committed = true
            placement.restored = true
            placements.put(saved.task, placement)
            attempts.put(saved.task, saved.attempt)
            placement
        }
    }

    private fun Placement.toWire() =
        PlacementWire(
            task.index,
            attempt,
            machine.value,
            shift,
            zone,
            charge.cost.value,
            Math.round(charge.weight * 1e3) / 1e3,
            placedAt.value,
        )

    companion object {
        const val FAULTY_MACHINES = 2

        /** Keeps the pages of all jobs; a page's key is `t/<job>/<page>`. */
        const val PAGES = "t/"

        /** A placement's record takes at most about this much, so that a page fits a value. */
        private const val BYTES_A_TASK = 200

        fun pageKey(job: JobId, page: Int) = "$PAGES${job.value}/$page"

        fun pageSize(maxValueBytes: Int) = (maxValueBytes / BYTES_A_TASK).coerceAtLeast(1)
    }
}
