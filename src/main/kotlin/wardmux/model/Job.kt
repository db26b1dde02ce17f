package wardmux.model

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue
import java.util.BitSet

/**
 * A job with the state of its tasks, which are identical and numbered from 0. Waiting tasks are
 * taken in this order: first tasks without any attempt, then tasks that are to be attempted again.
 * Only tasks that were attempted use memory individually.
 */
class Job(val spec: JobSpec, val version: KeyVersion, val acceptedAt: Micros, tasksPerPage: Int) {
    val id: JobId = spec.jobId

    /** The division of the tasks into stored pages, and what the store holds of each page. */
    val pages = TaskPages(tasksPerPage, spec.tasks)

    /** The requirements of each task on its machine. */
    val resourceRequest =
        ResourceRequest(spec.cpus, spec.gpus, spec.memoryGb, spec.types, spec.zone, spec.spot)

    /** True if the zones allowed for a task depend on the zones of the job's other tasks. */
    val isZoneBound: Boolean
        get() = spec.oneZone || spec.spread

    /** The placements of all tasks that are, or may be, on a machine, by task number. */
    val placements = Int2ObjectOpenHashMap<Placement>()
    private val doneTasks = BitSet()
    private val lastAttempts = Int2IntOpenHashMap()
    private val requeuedTasks = IntArrayFIFOQueue()
    private var nextUntriedTask = 0

    /** The number of tasks that are reported as running, for display. */
    val running: Int
        get() = placements.values.count { it.runningSince != null }

    /** The phase according to the job's record. Tasks are started only while the job is open. */
    var phase = JobPhase.OPEN

    /**
     * True if the job is cancelled or done. No task is started any more, and tasks that remain on
     * machines are stopped.
     */
    val hasEnded: Boolean
        get() = phase != JobPhase.OPEN

    /**
     * The earliest time at which a user may have been informed that the job is cancelled. This is
     * not the time at which this leader learned of the cancellation, because a failover must not
     * restart the period within which the tasks have to stop.
     */
    var cancelledSince = Micros.LONG_AGO

    /** True if the job's record says that it is done. */
    val isDone: Boolean
        get() = phase == JobPhase.DONE

    /** True if the job's record says that it is cancelled. */
    val isCancelled: Boolean
        get() = phase == JobPhase.CANCELLED

    /**
     * True if the job has ended, none of its tasks is on a machine, and no stored key indicates
     * that one may be.
     */
    val isRemovable: Boolean
        get() =
            hasEnded &&
                placements.isEmpty() &&
                pages.hasNoStoredPages &&
                (isDone || isCancelledKeyRemoved)

    /**
     * True once the store no longer lists the job among the cancelled jobs that may have tasks on
     * machines.
     */
    var isCancelledKeyRemoved = false

    /** The machines on which tasks of this job have failed since a task of it last completed. */
    val failedMachines = HashSet<MachineId>()

    /** The time of day before which no task of the job is placed. */
    var backoffUntil = Micros.LONG_AGO

    /**
     * The time since which the job has had a task that could not be placed for lack of room; null
     * while no task waits for room.
     */
    var blockedSince: Micros? = null

    /**
     * Returns true if the job has waited for room for longer than it usually takes until other
     * tasks end and free some.
     */
    fun isBlockedLong(now: Micros) = blockedSince?.let { now - it > LONG_BLOCKED_THRESHOLD } == true

    /**
     * When tasks of other teams were last stopped for this job to reclaim the share of its team.
     */
    var lastReclaimAt = Micros.LONG_AGO

    /** The number of tasks that are done. */
    val doneCount: Int
        get() = doneTasks.cardinality()

    /** The number of tasks that wait to be placed; 0 once the job has ended. */
    val waiting: Int
        get() =
            if (hasEnded) 0
            // All tasks of a gang become done at once, while they still have their placements.
            else (spec.tasks - doneTasks.cardinality() - placements.size).coerceAtLeast(0)

    /** The current or last attempt of a gang; null before the first one and for other jobs. */
    var gangAttempt: GangAttempt? = null
        private set

    /**
     * True if all placements on a stored page share one charge. The tasks of a gang are placed
     * together and cost the same. The tasks of a service never complete, so their charge is never
     * corrected.
     */
    val sharesCharge: Boolean
        get() = spec.kind != JobKind.ARRAY

    /** The number of the next attempt of a gang, which is larger than any earlier one. */
    val nextGangAttempt: Int
        get() = (lastAttempts.values.maxOrNull() ?: 0) + 1

    /**
     * Begins a new attempt of a gang. All of its tasks get the same attempt number and are placed
     * in ascending order, so that the tasks of one page are placed together.
     */
    fun startGangAttempt(now: Micros) {
        gangAttempt = GangAttempt(nextGangAttempt, now)
        requeuedTasks.clear()
        nextUntriedTask = 0
    }

    /**
     * True if tasks of the job may be started. Those of a gang may be started only once the
     * placements of all its tasks are committed.
     */
    val mayStart: Boolean
        get() =
            !spec.isGang ||
                (gangAttempt?.isAborted == false &&
                    placements.size == spec.tasks &&
                    placements.values.all { it.isCommitted })

    /** True if all tasks are done, even if the job's record does not say so yet. */
    val allTasksDone: Boolean
        get() = doneTasks.cardinality() == spec.tasks

    /**
     * True if tasks of the job fail on several machines, so that the job itself is assumed to be
     * faulty. It is then scheduled after the other jobs of its team.
     */
    val isFailing: Boolean
        get() = failedMachines.size >= MIN_FAILED_MACHINES

    /** True if a task of the job has been placed at least once. */
    val hasStarted: Boolean
        get() = !placements.isEmpty() || !lastAttempts.isEmpty()

    /** The tasks that were attempted, are not done and have no placement now. */
    val interrupted: List<Int>
        get() =
            lastAttempts
                .int2IntEntrySet()
                .filter { it.intValue > 0 && needsPlacement(it.intKey) }
                .map { it.intKey }

    /** Returns true if [task] is done, whether or not the store says so. */
    fun isTaskDone(task: Int) = doneTasks.get(task)

    /** Returns true if the store says that [task], or the whole job, is done. */
    fun isRecordedDone(task: Int) = isDone || pages.isRecordedDone(task)

    /** Removes and returns the next waiting task; returns -1 if there is none. */
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

    /**
     * Moves [task] and the following tasks of its page behind all other waiting tasks. It is called
     * if the page of [task] is full.
     */
    fun deferRestOfPage(task: Int) {
        requeuedTasks.enqueue(task)
        val end = pages.lastTaskOnPageOf(task) + 1
        if (nextUntriedTask <= task || nextUntriedTask > end) return
        while (nextUntriedTask < end) {
            val next = nextUntriedTask++
            if (needsPlacement(next) && !lastAttempts.containsKey(next)) requeuedTasks.enqueue(next)
        }
    }

    /** Puts [task] at the front of the tasks that are to be attempted again. */
    fun requeueFirst(task: Int) = requeuedTasks.enqueueFirst(task)

    private fun needsPlacement(task: Int) = !doneTasks.get(task) && !placements.containsKey(task)

    /** The attempt number that [task] gets if it is placed now. */
    fun nextAttempt(task: Int) = gangAttempt?.number ?: (lastAttempts.get(task) + 1)

    /** Adds [placement], which was made at the time of day [wallTime] and is not written yet. */
    fun place(placement: Placement, wallTime: Micros) {
        placements.put(placement.task.index, placement)
        lastAttempts.put(placement.task.index, placement.attempt)
        pages.addUncommitted(placement.task.index)
        pages.markTaskDirty(placement.task.index, wallTime)
    }

    /** Marks [placement] as committed, after its record was written to the store. */
    fun commit(placement: Placement) {
        if (placement.isCommitted) return
        placement.isCommitted = true
        val task = placement.task.index
        if (placements.get(task) === placement) pages.removeUncommitted(task)
    }

    /**
     * Removes [placement], which is known to be on no machine any more. Its task waits to be placed
     * again unless it is done.
     */
    fun release(placement: Placement, wallTime: Micros) {
        val task = placement.task.index
        if (placements.get(task) !== placement) return
        placements.remove(task)
        if (!placement.isCommitted) pages.removeUncommitted(task)
        pages.markTaskDirty(task, wallTime)
        if (!doneTasks.get(task)) requeuedTasks.enqueue(task)
    }

    /** Removes [placement], which was never written, so that its attempt number can be reused. */
    fun rollBack(placement: Placement, wallTime: Micros) {
        lastAttempts.put(placement.task.index, placement.attempt - 1)
        release(placement, wallTime)
    }

    /** Marks [task] as done at the time of day [wallTime]. */
    fun complete(task: Int, wallTime: Micros) {
        if (doneTasks.get(task)) return
        doneTasks.set(task)
        pages.markTaskDirty(task, wallTime)
    }

    /** Returns the placements of the tasks on [page]. */
    fun placementsOn(page: Int): List<Placement> {
        return if (placements.size < pages.largestPageSize) {
            placements.values.filter { pages.pageOf(it.task.index) == page }
        } else {
            pages.tasksOn(page).mapNotNull { placements.get(it) }
        }
    }

    /** Returns the ranges of consecutive done tasks on [page], in ascending order. */
    fun doneRunsOn(page: Int): List<IntRange> {
        val runs = ArrayList<IntRange>()
        var run = IntRange.EMPTY
        for (task in pages.tasksOn(page)) {
            if (!doneTasks.get(task)) continue
            if (run.isEmpty()) run = task..task
            else if (run.last == task - 1) run = run.first..task
            else {
                runs.add(run)
                run = task..task
            }
        }
        if (!run.isEmpty()) runs.add(run)
        return runs
    }

    /** The number of the last known attempt of [task], or 0 if none is known. */
    fun lastAttempt(task: Int): Int = lastAttempts.get(task)

    /** Returns true if [task] was attempted, is not done and has no placement now. */
    fun isInterrupted(task: Int) = needsPlacement(task) && lastAttempts.get(task) > 0

    /** Restores from the store that [task] is done. */
    fun restoreDone(task: Int) {
        doneTasks.set(task)
        pages.restoreDone(task)
    }

    /**
     * Restores from the store that [task] was attempted, with [lastAttempt] as its last attempt,
     * and that it is neither done nor placed.
     */
    fun restoreInterrupted(task: Int, lastAttempt: Int) {
        lastAttempts.put(task, lastAttempt)
        requeuedTasks.enqueue(task)
    }

    /** Restores [placement] from the store. It is committed, and its start may have been sent. */
    fun restore(placement: Placement) {
        placement.isCommitted = true
        placement.isRestored = true
        placements.put(placement.task.index, placement)
        lastAttempts.put(placement.task.index, placement.attempt)
        // It is unknown whether all tasks of this attempt ran, so hasRun is set: a lost task is not
        // replaced on its own.
        if (spec.isGang)
            gangAttempt = GangAttempt(placement.attempt, Micros.LONG_AGO, hasRun = true)
    }

    private companion object {
        /** A job is failing once its tasks have failed on this many machines. */
        const val MIN_FAILED_MACHINES = 2

        /** A job that waits for room for longer than this counts as blocked for long. */
        val LONG_BLOCKED_THRESHOLD = 4.seconds
    }
}
