package wardmux.scheduling

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import wardmux.model.Charge
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Placement
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.serialization.jsonBytes

/** The number of [tasks] of a gang that are to be placed on [machine]. */
class GangAllocation(val machine: Machine, val tasks: Int)

/**
 * An upper bound of the encoded size of a task page, updated as tasks are placed on it. A page that
 * exceeds the size limit of a value cannot be written, and the starts of its tasks are not sent
 * before it is written.
 */
class PageSizeEstimate(job: Job, page: Int, private val maxBytes: Int) {
    private val size =
        PlacementsSize(jsonBytes(TaskPageCodec.encode(job, page, maxBytes - RESERVED_BYTES).data))

    /** Tasks of the page that were attempted and are not done. They may end in any order. */
    private var attemptedTasks =
        job.pages.tasksOn(page).count { !job.isTaskDone(it) && job.lastAttempt(it) > 0 }
    private val attemptedBefore = attemptedTasks
    private var placedTasks = job.placementsOn(page).size

    /**
     * True if [task] can be placed: the page has room for one more placement, and it can still be
     * written whatever the order in which its tasks end.
     */
    fun hasRoom(job: Job, task: Int): Boolean =
        size.bytes + MAX_PLACEMENT_BYTES <= maxBytes &&
            // A task that was attempted before adds nothing to the size of ended tasks. On a page
            // without placements no task can end and make room, so waiting would not help.
            (job.nextAttempt(task) > 1 || placedTasks == 0 || maxEndedBytes(job, task) <= maxBytes)

    /**
     * The size of the page if its tasks end in the worst order. Each task that was attempted before
     * this estimate was made may be stored as an interrupted task between two done ones. Of the
     * tasks first attempted since, only every second one may be: the others are the done ones.
     */
    private fun maxEndedBytes(job: Job, task: Int): Int =
        PAGE_FRAME_BYTES +
            (attemptedBefore * 2 + attemptedTasks + 1 - attemptedBefore) * endedTaskBytes(job, task)

    /**
     * Roughly how many more tasks fit on the page now, with [tasksPerMachine] on each further
     * machine.
     */
    fun remainingTasks(tasksPerMachine: Int): Int {
        if (size.bytes + MAX_PLACEMENT_BYTES > maxBytes) return 0
        val bytesPerTask =
            TYPICAL_TASK_BYTES + TYPICAL_MACHINE_BYTES / tasksPerMachine.coerceAtLeast(1)
        return 1 + (maxBytes - size.bytes - MAX_PLACEMENT_BYTES) / bytesPerTask
    }

    /** Adds the size of [placement], which was made on this page. */
    fun add(placement: Placement) {
        if (placement.attempt == 1) attemptedTasks++
        placedTasks++
        size.addMachine(placement.machine, placement.incarnation, placement.zone)
        size.addTask(placement.task.index, placement.attempt)
        size.addCharge(if (placement.job.sharesCharge) null else placement.charge)
    }

    /**
     * The bytes of one ended task in the worst case, where half of the tasks are done and each of
     * them is a run of its own, with an interrupted task after each.
     */
    private fun endedTaskBytes(job: Job, task: Int): Int {
        val taskNumberBytes =
            PlacementsSize.bytesOf(maxOf(task, job.pages.lastTaskOnPageOf(task)).toLong())
        return (2 * taskNumberBytes + taskNumberBytes + ATTEMPT_BYTES + 1) / 2
    }

    /** Estimates the encoded size of the placements in a [StoredTaskPage]. */
    private class PlacementsSize(var bytes: Int) {
        private val machines = HashSet<Pair<MachineId, Long>>()
        private val zones = HashSet<String>()
        private val charges = HashSet<Charge?>()

        fun addMachine(id: MachineId, incarnation: Long, zone: String) {
            if (!machines.add(id to incarnation)) return
            bytes += id.value.length + QUOTE_BYTES
            bytes += bytesOf(incarnation) + ZONE_INDEX_BYTES + COUNT_BYTES
            if (zones.add(zone)) bytes += zone.length + QUOTE_BYTES
        }

        fun addTask(index: Int, attempt: Int) {
            bytes += bytesOf(index.toLong()) + bytesOf(attempt.toLong()) + CHARGE_INDEX_BYTES
        }

        /**
         * Adds a charge unless it is counted already. Null stands for the single charge that all
         * placements share.
         */
        fun addCharge(charge: Charge?) {
            if (charges.add(charge)) bytes += COST_BYTES + WEIGHT_BYTES
        }

        companion object {
            private const val QUOTE_BYTES = 3
            private const val CHARGE_INDEX_BYTES = 4
            private const val ZONE_INDEX_BYTES = 3
            private const val COUNT_BYTES = 6
            private const val COST_BYTES = 16
            private const val WEIGHT_BYTES = 24

            /** The bytes of a number and the comma after it. */
            fun bytesOf(number: Long) = number.toString().length + 1
        }
    }

    companion object {
        /** The field names and brackets of a page. */
        private const val PAGE_FRAME_BYTES = 64
        private const val ATTEMPT_BYTES = 4

        /**
         * The largest size of a placement that is alone on its machine and has a charge of its own.
         */
        private const val MAX_PLACEMENT_BYTES = 110
        private const val TYPICAL_MAX_PLACEMENT_BYTES = 100

        /**
         * How far below the size limit the codec tries to keep the page before more tasks are
         * placed on it. It omits done tasks from the page for this, so that there is room for a few
         * more placements.
         */
        private const val RESERVED_BYTES = 4 * MAX_PLACEMENT_BYTES

        /**
         * The largest size of a placement that is alone on its machine and shares the charge of the
         * job's other placements.
         */
        private const val MAX_SHARED_CHARGE_BYTES = 60

        /** The smallest size of a task's attempt number and charge index. */
        private const val MIN_TASK_BYTES = 4

        /**
         * The smallest size of a machine: a short name, its incarnation, zone index and task count.
         */
        private const val MIN_MACHINE_BYTES = 17

        private const val TYPICAL_TASK_BYTES = 10
        private const val TYPICAL_MACHINE_BYTES = 35

        /**
         * Roughly how many waiting tasks of [job] its pages can hold now, with [tasksPerMachine] on
         * each machine. The other tasks have to wait until placed tasks end, however much room
         * machines have.
         */
        fun placeableTasks(job: Job, tasksPerMachine: Int, maxBytes: Int): Int {
            if (alwaysFits(job, maxBytes)) return job.waiting
            val remaining =
                job.pages.all.sumOf {
                    PageSizeEstimate(job, it, maxBytes).remainingTasks(tasksPerMachine)
                }
            return minOf(job.waiting, remaining)
        }

        /** True if the pages of [job] have so few tasks that they can never exceed [maxBytes]. */
        fun alwaysFits(job: Job, maxBytes: Int): Boolean {
            val size = maxOf(job.pages.tasksPerPage, job.pages.largestPageSize).toLong()
            return job.pages.largestPageSize.toLong() * TYPICAL_MAX_PLACEMENT_BYTES +
                PAGE_FRAME_BYTES <= maxBytes || size * TaskPageCodec.BYTES_PER_PLACEMENT <= maxBytes
        }

        /**
         * True if all tasks of [job] have to be placed at the same time and its pages can hold them
         * only if they are on few machines. A placement on a machine that the page names already
         * takes about a third of the bytes of one on a new machine.
         */
        fun requiresDensePacking(job: Job, maxBytes: Int) =
            job.sharesCharge &&
                !alwaysFits(job, maxBytes) &&
                job.pages.largestPageSize * MAX_SHARED_CHARGE_BYTES + PAGE_FRAME_BYTES > maxBytes

        /**
         * True if a page could hold a whole attempt of [job] with [tasksPerMachine] tasks on each
         * machine. Uses a lower bound of the size.
         */
        fun mayFitAllTasks(job: Job, tasksPerMachine: Int, maxBytes: Int): Boolean {
            if (tasksPerMachine <= 0) return false
            val tasks = job.pages.largestPageSize
            val machines = (tasks + tasksPerMachine - 1) / tasksPerMachine
            val taskBytes =
                (0 until tasks).sumOf { PlacementsSize.bytesOf(it.toLong()) + MIN_TASK_BYTES }
            return PAGE_FRAME_BYTES + taskBytes + machines * MIN_MACHINE_BYTES <= maxBytes
        }

        /**
         * True if the pages certainly hold a whole attempt of [job], with its tasks in ascending
         * order on the machines of [allocations]. Uses an upper bound of the size.
         */
        fun fitsAllTasks(job: Job, allocations: List<GangAllocation>, maxBytes: Int): Boolean {
            var task = 0
            val sizes = Int2ObjectOpenHashMap<PlacementsSize>()
            for (allocation in allocations) {
                repeat(allocation.tasks) {
                    val size =
                        sizes.computeIfAbsent(job.pages.pageOf(task)) {
                            PlacementsSize(PAGE_FRAME_BYTES)
                        }
                    val machine = allocation.machine
                    size.addMachine(machine.id, machine.incarnation, machine.zone)
                    size.addTask(task++, job.nextGangAttempt)
                    size.addCharge(null)
                    if (size.bytes + MAX_PLACEMENT_BYTES > maxBytes) return false
                }
            }
            return true
        }
    }
}
