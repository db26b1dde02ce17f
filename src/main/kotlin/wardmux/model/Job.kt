package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue
import java.util.BitSet

/**
 * A job with its tasks: one class of like work. Waiting tasks are those never tried, in order, and
 * then those that came back; a large job costs no more here than a small one.
 */
class Job(val spec: JobSpec, val version: KeyVersion, val acceptedAt: Micros, tasksPerPage: Int) {
    val id: JobId = spec.jobId

    /** How its tasks are stored. */
    val pages = TaskPages(tasksPerPage, spec.tasks)

    /** Jobs with the same need find the same machines. */
    val resourceRequest =
        ResourceRequest(spec.cpus, spec.gpus, spec.memoryGb, spec.types, spec.zone, spec.spot)

    /** Where its tasks may go depends on where its others are. */
    val isZoneBound: Boolean
        get() = spec.oneZone || spec.spread

    val placements = Int2ObjectOpenHashMap<Placement>()
    private val done = BitSet()
    private val attempts = Int2IntOpenHashMap()
    private val requeued = IntArrayFIFOQueue()
    private var nextUntried = 0

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
        get() =
            hasEnded &&
                placements.isEmpty() &&
                pages.noneStored &&
                (isDone || isCancelledKeyRemoved)

    /** No longer listed among the cancelled jobs of which something is left. */
    var isCancelledKeyRemoved = false

    /** Machines on which tasks of this job failed since one of them last completed. */
    val failedMachines = HashSet<MachineId>()
    var backoffUntil = Micros.LONG_AGO

    /** Since when a task that could run has not been placed; null while none waits for room. */
    var blockedSince: Micros? = null

    /** It has waited for room for longer than what comes free as a matter of course. */
    fun isBlockedLong(now: Micros) = blockedSince?.let { now - it > LONG_BLOCKED_AFTER } == true

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
    var gangAttempt: GangAttempt? = null
        private set

    /**
     * Its stored placements name one charge for all. A gang's tasks are placed together and cost
     * the same; those of a service never complete, so what they were charged is never corrected.
     */
    val sharesCharge: Boolean
        get() = spec.kind != JobKind.ARRAY

    /** Larger than any before. */
    val nextGangAttempt: Int
        get() = (attempts.values.maxOrNull() ?: 0) + 1

    /** All tasks of a gang get one number, and are placed in their order: each page's together. */
    fun startGangAttempt(now: Micros) {
        gangAttempt = GangAttempt(nextGangAttempt, now)
        requeued.clear()
        nextUntried = 0
    }

    /** What would be started without the others is not started: all have to be recorded. */
    val mayStart: Boolean
        get() =
            !spec.isGang ||
                (gangAttempt?.isAborted == false &&
                    placements.size == spec.tasks &&
                    placements.values.all { it.committed })

    val allTasksDone: Boolean
        get() = done.cardinality() == spec.tasks

    /** Failing on several machines: the job is at fault, and stands behind its team's others. */
    val isFailing: Boolean
        get() = failedMachines.size >= MIN_FAILING_MACHINES

    /** A task of it was started once. */
    val hasStarted: Boolean
        get() = !placements.isEmpty() || !attempts.isEmpty()

    /** Tasks that were started once, are not done and are not placed now. */
    val interrupted: List<Int>
        get() =
            attempts
                .int2IntEntrySet()
                .filter { it.intValue > 0 && needsPlacement(it.intKey) }
                .map { it.intKey }

    fun isTaskDone(task: Int) = done.get(task)

    fun isRecorded(task: Int) = isDone || pages.isRecordedDone(task)

    /** The next waiting task, or -1. */
    fun pollWaitingTask(): Int {
        while (nextUntried < spec.tasks) {
            val task = nextUntried++
            if (needsPlacement(task) && (spec.isGang || !attempts.containsKey(task))) return task
        }
        while (!requeued.isEmpty) {
            val task = requeued.dequeueInt()
            if (needsPlacement(task)) return task
        }
        return -1
    }

    /** Its page is full for now: its turn comes after that of all others, with its page's rest. */
    fun deferRestOfPage(task: Int) {
        requeued.enqueue(task)
        val end = pages.lastTaskBeside(task) + 1
        if (nextUntried <= task || nextUntried > end) return
        while (nextUntried < end) {
            val next = nextUntried++
            if (needsPlacement(next) && !attempts.containsKey(next)) requeued.enqueue(next)
        }
    }

    fun requeueFirst(task: Int) = requeued.enqueueFirst(task)

    private fun needsPlacement(task: Int) = !done.get(task) && !placements.containsKey(task)

    fun nextAttempt(task: Int) = gangAttempt?.number ?: (attempts.get(task) + 1)

    fun place(placement: Placement, wall: Micros) {
        placements.put(placement.task.index, placement)
        attempts.put(placement.task.index, placement.attempt)
        pages.addUncommitted(placement.task.index)
        markDirty(placement.task.index, wall)
    }

    /** Its record is written. */
    fun commit(placement: Placement) {
        if (placement.committed) return
        placement.committed = true
        val task = placement.task.index
        if (placements.get(task) === placement) pages.removeUncommitted(task)
    }

    /** Proven gone; the task waits again unless it is done. */
    fun release(placement: Placement, wall: Micros) {
        val task = placement.task.index
        if (placements.get(task) !== placement) return
        placements.remove(task)
        if (!placement.committed) pages.removeUncommitted(task)
        markDirty(task, wall)
        if (!done.get(task)) requeued.enqueue(task)
    }

    /** The placement was never written, so its attempt number is free again. */
    fun rollBack(placement: Placement, wall: Micros) {
        attempts.put(placement.task.index, placement.attempt - 1)
        release(placement, wall)
    }

    fun complete(task: Int, wall: Micros) {
        if (done.get(task)) return
        done.set(task)
        markDirty(task, wall)
    }

    private fun markDirty(task: Int, wall: Micros) = pages.markDirty(pages.pageOf(task), wall)

    /** The placements of the tasks on [page]. */
    fun placementsOn(page: Int): List<Placement> {
        val size = pages.tasksPerPage
        val first = page * size
        return if (placements.size < size) {
            placements.values.filter { pages.pageOf(it.task.index) == page }
        } else {
            (first until first + size).mapNotNull { placements.get(it) }
        }
    }

    /** How many tasks on [page] were tried and are not done. */
    fun triedNotDoneOn(page: Int): Int =
        pages.tasksOn(page).count { !done.get(it) && attempts.get(it) > 0 }

    /** The runs of consecutive done tasks on [page], ascending. */
    fun doneRunsOn(page: Int): List<IntRange> {
        val from = page * pages.tasksPerPage
        val to = pages.tasksOn(page).last + 1
        val runs = ArrayList<IntRange>()
        var start = done.nextSetBit(from)
        while (start in from until to) {
            val end = minOf(done.nextClearBit(start), to)
            runs.add(start until end)
            start = done.nextSetBit(end)
        }
        return runs
    }

    /** The number of the last attempt of [task], or 0 if none is known. */
    fun lastAttempt(task: Int): Int = attempts.get(task)

    /** True if [task] was tried, is not done and is not placed now. */
    fun isInterrupted(task: Int) = needsPlacement(task) && attempts.get(task) > 0

    /** From the store: the tasks [first] to [last] are done. */
    fun restoreDone(first: Int, last: Int) {
        done.set(first, last + 1)
        pages.restoreDone(first, last)
    }

    /** From the store: [task] was tried up to [lastAttempt], is not done and not placed. */
    fun restoreInterrupted(task: Int, lastAttempt: Int) {
        attempts.put(task, lastAttempt)
        requeued.enqueue(task)
    }

    /** From the store: [placement] is committed, and a start of it may have gone out. */
    fun restore(placement: Placement) {
        placement.committed = true
        placement.restored = true
        placements.put(placement.task.index, placement)
        attempts.put(placement.task.index, placement.attempt)
        // How far it came is not known, so nothing of it is replaced.
        if (spec.isGang)
            gangAttempt = GangAttempt(placement.attempt, Micros.LONG_AGO, hasRun = true)
    }

    companion object {
        const val MIN_FAILING_MACHINES = 2
        private val LONG_BLOCKED_AFTER = 4.seconds
    }
}
