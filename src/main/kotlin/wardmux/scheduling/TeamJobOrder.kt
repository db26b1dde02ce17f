package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.config.ServiceLevelObjective
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Micros

/**
 * The order of one team's jobs of one priority class.
 * - A job that has waited for its first start longer than [maxWait] comes first, so that the
 *   largest jobs are not held up for ever by smaller ones.
 * - Jobs with deadlines follow. Where more is asked than the team's CPUs can do in time, as many
 *   jobs as possible are kept in time: they are taken by deadline, and whenever one would be late,
 *   the job with the most work left is put behind (Moore and Hodgson's rule). Those put behind are
 *   then held against their next, later deadline in the same way.
 * - Jobs without deadlines follow in the order of submission, and failing jobs come last.
 */
class TeamJobOrder(
    objectives: List<ServiceLevelObjective>,
    private val estimates: RuntimeEstimates,
    private val maxWait: Micros,
) {
    private val objectivesByClass = objectives.groupBy { it.jobClass }

    /** A job with its deadlines; all times are seconds from now. */
    private class TimedJob(
        val job: Job,
        /** How long all the team's CPUs work on what is left of it. */
        val remainingWorkS: Double,
        /** How long one of its tasks runs. */
        val taskRunTimeS: Double,
        private val deadlines: DoubleArray,
    ) {
        val deadlineCount: Int
            get() = deadlines.size

        /** Past its last deadline a job is held against that. */
        fun deadline(level: Int) = deadlines[minOf(level, deadlines.lastIndex)]
    }

    /** Which jobs can be kept within a deadline, and which can't; both in the order of planning. */
    private class Feasibility(val inTime: List<TimedJob>, val late: List<TimedJob>)

    /** [jobs] in their order; [cpus] is what the team can count on at time of day [wallTime]. */
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
            val feasibility = keepInTime(undecided, level, precedingWorkS)
            precedingWorkS += feasibility.inTime.sumOf { it.remainingWorkS }
            feasibility.inTime.mapTo(sorted) { it.job }
            undecided = feasibility.late
        }
        return undecided.sortedBy { it.remainingWorkS }.mapTo(sorted) { it.job }
    }

    /** Seconds after acceptance by which users expect a job like this to be done, ascending. */
    private fun deadlines(spec: JobSpec): List<Double> {
        val objectives = objectivesByClass[spec.jobClass].orEmpty()
        val jobDeadlineS = spec.deadlineS
        val factors =
            objectives.filter { it.kind == DEADLINE_KIND }.map { it.times }.ifEmpty { listOf(1.0) }
        val fromOwn = if (jobDeadlineS == null) emptyList() else factors.map { it * jobDeadlineS }
        return (fromOwn + objectives.filter { it.kind == FINISHED_KIND }.map { it.withinS })
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

    /** Moore and Hodgson's rule, after [spent] seconds of other work. */
    private fun keepInTime(
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
        /** Kinds of objectives: a factor of the job's own deadline, and a time after acceptance. */
        const val DEADLINE_KIND = "deadline"
        const val FINISHED_KIND = "finished"

        /** Of a task that is placed, about half is still to be done. */
        const val PLACED_TASK_DONE_SHARE = 0.5
    }
}
