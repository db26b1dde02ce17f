package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue
import java.util.BitSet

/**
 * A job with the state of its tasks, which are numbered from 0 and alike. Waiting tasks are taken
 * in this order: those never tried, then those that are to be tried again. Only tasks that were
 * tried take memory each.
 */
class Job(val spec: JobSpec, val version: KeyVersion, val acceptedAt: Micros, tasksPerPage: Int) {
    val id: JobId = spec.jobId

    /** How its tasks are stored. */
    val pages = TaskPages(tasksPerPage, spec.tasks)

    /** What each task requires of its machine. */
    val resourceRequest =
        ResourceRequest(spec.cpus, spec.gpus, spec.memoryGb, spec.types, spec.zone, spec.spot)

    /** True if the zones that its tasks may go to depend on where its others are. */
    val isZoneBound: Boolean
        get() = spec.oneZone || spec.spread

    /** The placement of each task that is, or may be, on a machine. */
    val placements = Int2ObjectOpenHashMap<Placement>()
    private val doneTasks = BitSet()
    private val lastAttempts = Int2IntOpenHashMap()
    private val requeuedTasks = IntArrayFIFOQueue()
    private var nextUntriedTask = 0

    /** How many tasks are reported as running, for display. */
    val running: Int
        get() = placements.values.count { it.runningSince != null }

    /** What the job's record says; only an open job has tasks started. */
    var phase = JobPhase.OPEN

    /** Cancelled or done: nothing starts any more, and what is left on machines is stopped. */
    val hasEnded: Boolean
        get() = phase != JobPhase.OPEN

    /**
     * The earliest moment at which a user may have been told that it is cancelled. Not when this
     * leader learned of it: a failover must not start the time anew.
     */
    var cancelledSince = Micros.LONG_AGO

    /** True if the job's record says that it is done. */
    val isDone: Boolean
        get() = phase == JobPhase.DONE

    /** True if the job's record says that it is cancelled. */
    val isCancelled: Boolean
        get() = phase == JobPhase.CANCELLED

    /** True if nothing of it is on a machine, and nothing stored says that something may be. */
    val isRemovable: Boolean
        get() =
            hasEnded &&
                placements.isEmpty() &&
                pages.hasNoStoredPages &&
                (isDone || isCancelledKeyRemoved)

    /** True if the store no longer lists it among the cancelled jobs with tasks on machines. */
    var isCancelledKeyRemoved = false

    /** Machines on which tasks of this job failed since one of them last completed. */
    val failedMachines = HashSet<MachineId>()

    /** None of its tasks is placed before this time of day. */
    var backoffUntil = Micros.LONG_AGO

    /** Since when a task that could run has not been placed; null while none waits for room. */
    var blockedSince: Micros? = null

    /** True if it has waited for room for longer than it takes some to come free by itself. */
    fun isBlockedLong(now: Micros) = blockedSince?.let { now - it > LONG_BLOCKED_THRESHOLD } == true

    /** When tasks of other teams were last stopped for it, to reclaim its team's share. */
    var lastReclaimAt = Micros.LONG_AGO

    /** How many tasks are done. */
    val doneCount: Int
        get() = doneTasks.cardinality()

    /** How many tasks wait to be placed; none once the job has ended. */
    val waiting: Int
        get() =
            if (hasEnded) 0
            // Of a gang all are done at once, those on their machines too.
            else (spec.tasks - doneTasks.cardinality() - placements.size).coerceAtLeast(0)

    /** The current or last attempt of a gang; null before the first, and for other jobs. */
    var gangAttempt: GangAttempt? = null
        private set

    /**
     * True if its stored placements name one charge for all. A gang's tasks are placed together and
     * cost the same; those of a service never complete, so their charge is never corrected.
     */
    val sharesCharge: Boolean
        get() = spec.kind != JobKind.ARRAY

    /** The number of a gang's next attempt, larger than any before. */
    val nextGangAttempt: Int
        get() = (lastAttempts.values.maxOrNull() ?: 0) + 1

    /**
     * Starts an attempt of a gang: all its tasks get one attempt number and are placed in their
     * order, so that those of a page are placed together.
     */
    fun startGangAttempt(now: Micros) {
        gangAttempt = GangAttempt(nextGangAttempt, now)
        requeuedTasks.clear()
        nextUntriedTask = 0
    }

    /** False for a gang until the placements of all its tasks are committed. */
    val mayStart: Boolean
        get() =
            !spec.isGang ||
                (gangAttempt?.isAborted == false &&
                    placements.size == spec.tasks &&
                    placements.values.all { it.isCommitted })

    /** True if all tasks are done, whether or not the job's record says so. */
    val allTasksDone: Boolean
        get() = doneTasks.cardinality() == spec.tasks

    /** True if it fails on several machines: it is at fault, and comes after its team's others. */
    val isFailing: Boolean
        get() = failedMachines.size >= MIN_FAILED_MACHINES

    /** True if a task of it was placed once. */
    val hasStarted: Boolean
        get() = !placements.isEmpty() || !lastAttempts.isEmpty()

    /** Tasks that were started once, are not done and are not placed now. */
    val interrupted: List<Int>
        get() =
            lastAttempts
                .int2IntEntrySet()
                .filter { it.intValue > 0 && needsPlacement(it.intKey) }
                .map { it.intKey }

    /** True if [task] is done. */
    fun isTaskDone(task: Int) = doneTasks.get(task)

    /** True if the store says that [task] is done. */
    fun isRecordedDone(task: Int) = isDone || pages.isRecordedDone(task)

    /** Takes the next waiting task from the queue; -1 if there is none. */
    fun pollWaitingTask(): Int {
        while (nextUntriedTask < spec.tasks) {
            val task = nextUntriedTask++
            if (needsPlacement(task) && (spec.isGang || !lastAttempts.containsKey(task)))
                return task
        }
        while (!requeuedTasks.isEmpty) {
            val task = requeuedTasks.dequeueInt()
            if (needsPlacement(task)) return task
        }
        return -1
    }

    /** The page of [task] is full: it and the rest of the page come after all other tasks. */
    fun deferRestOfPage(task: Int) {
        requeuedTasks.enqueue(task)
        val end = pages.lastTaskOnPageOf(task) + 1
        if (nextUntriedTask <= task || nextUntriedTask > end) return
        while (nextUntriedTask < end) {
            val next = nextUntriedTask++
            if (needsPlacement(next) && !lastAttempts.containsKey(next)) requeuedTasks.enqueue(next)
        }
    }

    /** [task] is the next to be taken again. */
    fun requeueFirst(task: Int) = requeuedTasks.enqueueFirst(task)

    private fun needsPlacement(task: Int) = !doneTasks.get(task) && !placements.containsKey(task)

    /** The number that an attempt of [task] gets if it is placed now. */
    fun nextAttempt(task: Int) = gangAttempt?.number ?: (lastAttempts.get(task) + 1)

    /** [placement] was made at time of day [wallTime]. */
    fun place(placement: Placement, wallTime: Micros) {
        placements.put(placement.task.index, placement)
        lastAttempts.put(placement.task.index, placement.attempt)
        pages.addUncommitted(placement.task.index)
        pages.markTaskDirty(placement.task.index, wallTime)
    }

    /** The record of [placement] is written. */
    fun commit(placement: Placement) {
        if (placement.isCommitted) return
        placement.isCommitted = true
        val task = placement.task.index
        if (placements.get(task) === placement) pages.removeUncommitted(task)
    }

    /** [placement] is proven gone; its task waits again unless it is done. */
    fun release(placement: Placement, wallTime: Micros) {
        val task = placement.task.index
        if (placements.get(task) !== placement) return
        placements.remove(task)
        if (!placement.isCommitted) pages.removeUncommitted(task)
        pages.markTaskDirty(task, wallTime)
        if (!doneTasks.get(task)) requeuedTasks.enqueue(task)
    }

    /** [placement] was never written, so its attempt number is used again. */
    fun rollBack(placement: Placement, wallTime: Micros) {
        lastAttempts.put(placement.task.index, placement.attempt - 1)
        release(placement, wallTime)
    }

    /** [task] is done since time of day [wallTime]. */
    fun complete(task: Int, wallTime: Micros) {
        if (doneTasks.get(task)) return
        doneTasks.set(task)
        pages.markTaskDirty(task, wallTime)
    }

    /** The placements of the tasks on [page]. */
    fun placementsOn(page: Int): List<Placement> {
        val tasksPerPage = pages.tasksPerPage
        val first = page * tasksPerPage
        return if (placements.size < tasksPerPage) {
            placements.values.filter { pages.pageOf(it.task.index) == page }
        } else {
            (first until first + tasksPerPage).mapNotNull { placements.get(it) }
        }
    }

    /** The runs of consecutive done tasks on [page], ascending. */
    fun doneRunsOn(page: Int): List<IntRange> {
        val from = page * pages.tasksPerPage
        val to = pages.tasksOn(page).last + 1
        val runs = ArrayList<IntRange>()
        var start = doneTasks.nextSetBit(from)
        while (start in from until to) {
            val end = minOf(doneTasks.nextClearBit(start), to)
            runs.add(start until end)
            start = doneTasks.nextSetBit(end)
        }
        return runs
    }

    /** The number of the last attempt of [task], or 0 if none is known. */
    fun lastAttempt(task: Int): Int = lastAttempts.get(task)

    /** True if [task] was tried, is not done and is not placed now. */
    fun isInterrupted(task: Int) = needsPlacement(task) && lastAttempts.get(task) > 0

    /** From the store: the tasks [first] to [last] are done. */
    fun restoreDone(first: Int, last: Int) {
        doneTasks.set(first, last + 1)
        pages.restoreDone(first, last)
    }

    /** From the store: [task] was tried up to [lastAttempt], is not done and not placed. */
    fun restoreInterrupted(task: Int, lastAttempt: Int) {
        lastAttempts.put(task, lastAttempt)
        requeuedTasks.enqueue(task)
    }

    /** From the store: [placement] is committed, and a start of it may have gone out. */
    fun restore(placement: Placement) {
        placement.isCommitted = true
        placement.isRestored = true
        placements.put(placement.task.index, placement)
        lastAttempts.put(placement.task.index, placement.attempt)
        // How far the attempt came is not known, so none of its tasks is replaced.
        if (spec.isGang)
            gangAttempt = GangAttempt(placement.attempt, Micros.LONG_AGO, hasRun = true)
    }

    private companion object {
        /** A job that failed on so many machines is failing. */
        const val MIN_FAILED_MACHINES = 2
        val LONG_BLOCKED_THRESHOLD = 4.seconds
    }
}
