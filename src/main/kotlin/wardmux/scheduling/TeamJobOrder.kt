package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.config.ServiceLevelObjective
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Micros

/**
 * Sorts the jobs of one team and priority class.
 * - Jobs that have waited for their first start longer than [maxWait] come first, so that smaller
 *   jobs cannot hold up the largest ones indefinitely.
 * - Jobs with deadlines follow. If the team's CPUs cannot complete all of them in time, the order
 *   keeps the deadlines of as many jobs as possible (Moore and Hodgson's rule): jobs are selected
 *   in the order of their deadlines, and whenever one would be late, the selected job with the most
 *   remaining work is put back. Jobs that were put back are then ordered by their next, later
 *   deadline in the same way.
 * - Jobs without deadlines follow in the order of submission.
 * - Failing jobs come last.
 *
 * If only one job is to be sorted by deadline, or if the team can use no CPUs, deadlines are
 * ignored and these jobs are sorted like those without deadlines.
 */
class TeamJobOrder(
    objectives: List<ServiceLevelObjective>,
    private val estimates: RuntimeEstimates,
    private val maxWait: Micros,
) {
    private val objectivesByClass = objectives.groupBy { it.jobClass }

    /** A job with its deadlines. All times are in seconds; deadlines count from now. */
    private class TimedJob(
        val job: Job,
        /** How long all CPUs of the team would need for the job's remaining work. */
        val remainingWorkS: Double,
        /** The expected run time of one task. */
        val taskRunTimeS: Double,
        private val deadlines: DoubleArray,
    ) {
        val deadlineCount: Int
            get() = deadlines.size

        /**
         * The deadline of the given level, in seconds from now. A job that has fewer deadlines uses
         * its last one.
         */
        fun deadline(level: Int) = deadlines[minOf(level, deadlines.lastIndex)]
    }

    /** The jobs that can meet a deadline and those that cannot. [inTime] is sorted by deadline. */
    private class Feasibility(val inTime: List<TimedJob>, val late: List<TimedJob>)

    /**
     * Returns [jobs] in the order in which to place them. [cpus] is the number of CPUs that the
     * team can expect to use at time of day [wallTime].
     */
    fun sort(jobs: List<Job>, cpus: Double, wallTime: Micros): List<Job> {
        if (jobs.size < 2) return jobs
        val bySubmission = compareBy<Job>({ it.acceptedAt.value }, { it.id.value })
        val (failing, good) = jobs.sortedWith(bySubmission).partition { it.isFailing }
        val (overdue, others) =
            good.partition { !it.hasStarted && wallTime - it.acceptedAt > maxWait }
        val (timed, untimed) = others.partition { deadlines(it.spec).isNotEmpty() }
        if (timed.size < 2 || cpus <= 0) return overdue + others + failing
        return overdue + byDeadline(timed.map { timedJob(it, cpus, wallTime) }) + untimed + failing
    }

    private fun byDeadline(timed: List<TimedJob>): List<Job> {
        val sorted = ArrayList<Job>()
        var undecided = timed
        var precedingWorkS = 0.0
        for (level in 0 until timed.maxOf { it.deadlineCount }) {
            val feasibility = selectJobsInTime(undecided, level, precedingWorkS)
            precedingWorkS += feasibility.inTime.sumOf { it.remainingWorkS }
            feasibility.inTime.mapTo(sorted) { it.job }
            undecided = feasibility.late
        }
        return undecided.sortedBy { it.remainingWorkS }.mapTo(sorted) { it.job }
    }

    /** The deadlines of a job like [spec], in seconds after its acceptance, ascending. */
    private fun deadlines(spec: JobSpec): List<Double> {
        val objectives = objectivesByClass[spec.jobClass].orEmpty()
        val jobDeadlineS = spec.deadlineS
        val factors =
            objectives.filter { it.kind == DEADLINE_KIND }.map { it.times }.ifEmpty { listOf(1.0) }
        val fromJobDeadline =
            if (jobDeadlineS == null) emptyList() else factors.map { it * jobDeadlineS }
        return (fromJobDeadline + objectives.filter { it.kind == FINISHED_KIND }.map { it.withinS })
            .sorted()
    }

    private fun timedJob(job: Job, cpus: Double, wallTime: Micros): TimedJob {
        val spec = job.spec
        val taskRunTimeS = estimates.runTime(spec).inSeconds
        val tasksLeft = spec.tasks - job.doneCount - job.placements.size * PLACED_TASK_DONE_SHARE
        val age = (wallTime - job.acceptedAt).inSeconds
        val deadlines = deadlines(spec).map { it - age }.toDoubleArray()
        return TimedJob(job, tasksLeft * spec.cpus / cpus * taskRunTimeS, taskRunTimeS, deadlines)
    }

    /**
     * Applies Moore and Hodgson's rule to the deadlines of the given level. The team's CPUs are
     * busy with other work for the first [precedingWorkS] seconds.
     */
    private fun selectJobsInTime(
        undecided: List<TimedJob>,
        level: Int,
        precedingWorkS: Double,
    ): Feasibility {
        val inTime = PriorityQueue<TimedJob>(compareByDescending { it.remainingWorkS })
        val late = ArrayList<TimedJob>()
        var busyS = precedingWorkS
        for (job in undecided.sortedBy { it.deadline(level) }) {
            if (job.taskRunTimeS > job.deadline(level)) {
                late.add(job)
                continue
            }
            inTime.add(job)
            busyS += job.remainingWorkS
            while (busyS > job.deadline(level) && inTime.isNotEmpty()) {
                val largest = inTime.poll()
                busyS -= largest.remainingWorkS
                late.add(largest)
            }
        }
        return Feasibility(inTime.sortedBy { it.deadline(level) }, late)
    }

    private companion object {
        /**
         * Kinds of objectives: a multiple of the job's own deadline, and a time after its
         * acceptance.
         */
        const val DEADLINE_KIND = "deadline"
        const val FINISHED_KIND = "finished"

        /** The share of a placed task's work that is assumed to be done. */
        const val PLACED_TASK_DONE_SHARE = 0.5
    }
}
