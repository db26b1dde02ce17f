package wardmux.scheduling

import wardmux.model.Charge
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Placement
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.serialization.jsonBytes

/** [tasks] tasks of a gang are to go to [machine]. */
class GangShare(val machine: Machine, val tasks: Int)

/**
 * An upper bound of the bytes that a task page takes, as tasks are placed on it. A page that is
 * larger than a value may be can't be written, and neither can the starts on it go out.
 */
class PageSizeEstimate(job: Job, page: Int, private val maxBytes: Int) {
    private val size =
        PlacementsSize(jsonBytes(TaskPageCodec.encode(job, page, maxBytes - RESERVED_BYTES).data))

    /** Tried tasks of the page that are not done, and may end in any order. */
    private var triedTasks =
        job.pages.tasksOn(page).count { !job.isTaskDone(it) && job.lastAttempt(it) > 0 }
    private val triedBefore = triedTasks
    private var placedTasks = job.placementsOn(page).size

    /**
     * True if [task] can be placed: the page holds one more placement, and the page can still be
     * written once its tasks have ended in whatever order.
     */
    fun hasRoom(job: Job, task: Int): Boolean =
        size.bytes + MAX_PLACEMENT_BYTES <= maxBytes &&
            // A task that was tried before adds nothing; and on a page without placements there is
            // nothing to wait for.
            (job.nextAttempt(task) > 1 || placedTasks == 0 || maxEndedBytes(job, task) <= maxBytes)

    /** All tasks that were tried before may stand between done ones, of those placed now half. */
    private fun maxEndedBytes(job: Job, task: Int): Int =
        FRAME_BYTES + (triedBefore * 2 + triedTasks + 1 - triedBefore) * endedTaskBytes(job, task)

    /** About how many more tasks fit for now, with [tasksPerMachine] on each further machine. */
    fun remainingTasks(tasksPerMachine: Int): Int {
        if (size.bytes + MAX_PLACEMENT_BYTES > maxBytes) return 0
        val each = USUAL_TASK_BYTES + USUAL_MACHINE_BYTES / tasksPerMachine.coerceAtLeast(1)
        return 1 + (maxBytes - size.bytes - MAX_PLACEMENT_BYTES) / each
    }

    /** Counts [placement], which was made on the page. */
    fun add(placement: Placement) {
        if (placement.attempt == 1) triedTasks++
        placedTasks++
        size.addMachine(placement.machine, placement.incarnation, placement.zone)
        size.addTask(placement.task.index, placement.attempt)
        size.addCharge(if (placement.job.sharesCharge) null else placement.charge)
    }

    /** Half of the tasks are done, each a run of its own; between them the others, interrupted. */
    private fun endedTaskBytes(job: Job, task: Int): Int {
        val name = PlacementsSize.bytesOf(maxOf(task, job.pages.lastTaskOnPageOf(task)).toLong())
        return (2 * name + name + ATTEMPT_BYTES + 1) / 2
    }

    /** The bytes of placements in a [StoredTaskPage]. */
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

        /** Null stands for the one charge that all placements share. */
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

            /** A number with the comma behind it. */
            fun bytesOf(number: Long) = number.toString().length + 1
        }
    }

    companion object {
        /** The field names and brackets of a page. */
        private const val FRAME_BYTES = 64
        private const val ATTEMPT_BYTES = 4

        /** A placement on a machine of its own, charged unlike all others. */
        private const val MAX_PLACEMENT_BYTES = 110
        private const val USUAL_MAX_PLACEMENT_BYTES = 100

        /** Kept free where omitting done tasks frees it, so that some can always be placed. */
        private const val RESERVED_BYTES = 4 * MAX_PLACEMENT_BYTES

        /** A placement on a machine of its own, charged like the job's others. */
        private const val MAX_SHARED_CHARGE_BYTES = 60

        /** Attempt and index of the charge. */
        private const val MIN_TASK_BYTES = 4

        /** A short name, its incarnation, zone and count. */
        private const val MIN_MACHINE_BYTES = 17

        private const val USUAL_TASK_BYTES = 10
        private const val USUAL_MACHINE_BYTES = 35

        /**
         * About how many waiting tasks of [job] its pages hold for now, with [tasksPerMachine] on
         * each machine. The others wait for placed tasks to end, however much room machines have.
         */
        fun placeableTasks(job: Job, tasksPerMachine: Int, maxBytes: Int): Int {
            if (alwaysFits(job, maxBytes)) return job.waiting
            val remaining =
                job.pages.all.sumOf {
                    PageSizeEstimate(job, it, maxBytes).remainingTasks(tasksPerMachine)
                }
            return minOf(job.waiting, remaining)
        }

        /** True if the pages of [job] have so few tasks that they are never too large. */
        fun alwaysFits(job: Job, maxBytes: Int): Boolean {
            val size = job.pages.tasksPerPage
            return minOf(size, job.spec.tasks).toLong() * USUAL_MAX_PLACEMENT_BYTES + FRAME_BYTES <=
                maxBytes || size.toLong() * TaskPageCodec.BYTES_PER_PLACEMENT <= maxBytes
        }

        /**
         * True if all tasks of [job] have to be placed at the same time and its pages hold them
         * only on few machines: a placement on a machine that is named already takes a third.
         */
        fun requiresDensePacking(job: Job, maxBytes: Int) =
            job.sharesCharge &&
                !alwaysFits(job, maxBytes) &&
                minOf(job.pages.tasksPerPage, job.spec.tasks) * MAX_SHARED_CHARGE_BYTES +
                    FRAME_BYTES > maxBytes

        /** True if a page may hold a whole attempt with [tasksPerMachine] on each machine. */
        fun mayHold(job: Job, tasksPerMachine: Int, maxBytes: Int): Boolean {
            if (tasksPerMachine <= 0) return false
            val tasks = minOf(job.pages.tasksPerPage, job.spec.tasks)
            val machines = (tasks + tasksPerMachine - 1) / tasksPerMachine
            val numbers =
                (0 until tasks).sumOf { PlacementsSize.bytesOf(it.toLong()) + MIN_TASK_BYTES }
            return FRAME_BYTES + numbers + machines * MIN_MACHINE_BYTES <= maxBytes
        }

        /** True if the pages surely hold a whole attempt, its tasks in their order on [shares]. */
        fun holds(job: Job, shares: List<GangShare>, maxBytes: Int): Boolean {
            var task = 0
            var size = PlacementsSize(FRAME_BYTES)
            for (share in shares) {
                repeat(share.tasks) {
                    if (task > 0 && task % job.pages.tasksPerPage == 0) {
                        size = PlacementsSize(FRAME_BYTES)
                    }
                    val machine = share.machine
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
