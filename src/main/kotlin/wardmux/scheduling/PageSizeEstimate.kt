package wardmux.scheduling

import wardmux.model.Charge
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Placement
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.serialization.jsonBytes

/** So many tasks of a gang are to go to this machine. */
class GangShare(val machine: Machine, val tasks: Int)

/**
 * Counts what a page takes as tasks are placed on it, never too little: a page that is larger than
 * a value may be can't be written, and neither can the starts on it.
 */
class PageSizeEstimate(job: Job, page: Int, private val maxBytes: Int) {
    private val size =
        RecordSize(jsonBytes(TaskPageCodec.encode(job, page, maxBytes - PLANNED).data))

    /** Tasks of the page that may end in any order; none of them may make it too large for good. */
    private var open = job.triedNotDoneOn(page)
    private val openBefore = open
    private var placed = job.placementsOn(page).size

    fun hasRoom(job: Job, task: Int): Boolean =
        size.bytes + MOST_A_PLACEMENT <= maxBytes &&
            // What was tried before adds nothing; and where nothing is out, nothing is waited for.
            (job.nextAttempt(task) > 1 || placed == 0 || mostLeft(job, task) <= maxBytes)

    /** Those that were open before may stand between done ones, of those placed now each second. */
    private fun mostLeft(job: Job, task: Int): Int =
        FRAME + (openBefore * 2 + open + 1 - openBefore) * mostLeftOf(job, task)

    /** About how many more tasks it takes for now, [together] of them on each further machine. */
    fun roomFor(together: Int): Int {
        if (size.bytes + MOST_A_PLACEMENT > maxBytes) return 0
        val each = USUAL_A_TASK + USUAL_A_MACHINE / together.coerceAtLeast(1)
        return 1 + (maxBytes - size.bytes - MOST_A_PLACEMENT) / each
    }

    fun add(placement: Placement) {
        if (placement.attempt == 1) open++
        placed++
        size.machine(placement.machine, placement.incarnation, placement.zone)
        size.task(placement.task.index, placement.attempt)
        size.charge(if (placement.job.sharesCharge) null else placement.charge)
    }

    /** Half of them done, each a run of its own; between them the others, tried and waiting. */
    private fun mostLeftOf(job: Job, task: Int): Int {
        val name = RecordSize.number(maxOf(task, job.pages.lastTaskBeside(task)).toLong())
        return (2 * name + name + ATTEMPT + 1) / 2
    }

    /** The bytes of placements as [StoredTaskPage] writes them. */
    private class RecordSize(var bytes: Int) {
        private val machines = HashSet<Pair<MachineId, Long>>()
        private val zones = HashSet<String>()
        private val charges = HashSet<Charge?>()

        fun machine(id: MachineId, incarnation: Long, zone: String) {
            if (!machines.add(id to incarnation)) return
            bytes += id.value.length + QUOTES + number(incarnation) + ZONE_PLACE + COUNT
            if (zones.add(zone)) bytes += zone.length + QUOTES
        }

        fun task(index: Int, attempt: Int) {
            bytes += number(index.toLong()) + number(attempt.toLong()) + CHARGE_PLACE
        }

        fun charge(charge: Charge?) {
            if (charges.add(charge)) bytes += COST + WEIGHT
        }

        companion object {
            private const val QUOTES = 3
            private const val CHARGE_PLACE = 4
            private const val ZONE_PLACE = 3
            private const val COUNT = 6
            private const val COST = 16
            private const val WEIGHT = 24

            fun number(value: Long) = value.toString().length + 1
        }
    }

    companion object {
        private const val FRAME = 64
        private const val ATTEMPT = 4

        /** On a machine of its own, charged unlike all others. */
        private const val MOST_A_PLACEMENT = 110
        private const val MOST_AS_A_RULE = 100

        /** Kept free where leaving out done tasks frees it, so that some can always be placed. */
        private const val PLANNED = 4 * MOST_A_PLACEMENT

        /** On a machine of its own, charged like the job's others. */
        private const val MOST_CHARGED_ALIKE = 60

        /** Attempt and place of the charge. */
        private const val LEAST_A_TASK = 4

        /** A short name, its session, zone and count. */
        private const val LEAST_A_MACHINE = 17

        private const val USUAL_A_TASK = 10
        private const val USUAL_A_MACHINE = 35

        /**
         * About how many waiting tasks of the job its pages take for now, [together] of them on a
         * machine. The others wait for those that are out to end, however much room there is.
         */
        fun placeableTasks(job: Job, together: Int, maxBytes: Int): Int {
            if (fitsAlways(job, maxBytes)) return job.waiting
            val room = job.pages.all.sumOf { PageSizeEstimate(job, it, maxBytes).roomFor(together) }
            return minOf(job.waiting, room)
        }

        /** A page with so few tasks is never too large. */
        fun fitsAlways(job: Job, maxBytes: Int) =
            minOf(job.pages.tasksPerPage, job.spec.tasks).toLong() * MOST_AS_A_RULE + FRAME <=
                maxBytes ||
                job.pages.tasksPerPage.toLong() * TaskPageCodec.BYTES_PER_TASK <= maxBytes

        /**
         * True if all tasks have to be out at the same time and their pages hold them only on few
         * machines: what names its machine once takes a third of what names one for itself.
         */
        fun requiresDensePacking(job: Job, maxBytes: Int) =
            job.sharesCharge &&
                !fitsAlways(job, maxBytes) &&
                minOf(job.pages.tasksPerPage, job.spec.tasks) * MOST_CHARGED_ALIKE + FRAME >
                    maxBytes

        /** True if pages may hold a whole attempt with so many tasks on each machine. */
        fun mayHold(job: Job, onEach: Int, maxBytes: Int): Boolean {
            if (onEach <= 0) return false
            val tasks = minOf(job.pages.tasksPerPage, job.spec.tasks)
            val machines = (tasks + onEach - 1) / onEach
            val numbers = (0 until tasks).sumOf { RecordSize.number(it.toLong()) + LEAST_A_TASK }
            return FRAME + numbers + machines * LEAST_A_MACHINE <= maxBytes
        }

        /** True if the pages surely hold a whole attempt, its tasks in their order on [shares]. */
        fun holds(job: Job, shares: List<GangShare>, maxBytes: Int): Boolean {
            var task = 0
            var size = RecordSize(FRAME)
            for (share in shares) {
                repeat(share.tasks) {
                    if (task > 0 && task % job.pages.tasksPerPage == 0) size = RecordSize(FRAME)
                    size.machine(share.machine.id, share.machine.incarnation, share.machine.zone)
                    size.task(task++, job.nextGangAttempt)
                    size.charge(null)
                    if (size.bytes + MOST_A_PLACEMENT > maxBytes) return false
                }
            }
            return true
        }
    }
}
