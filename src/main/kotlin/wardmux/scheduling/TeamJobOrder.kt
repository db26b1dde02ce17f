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
        val work: Double,
        /** How long one of its tasks runs. */
        val run: Double,
        private val deadlines: DoubleArray,
    ) {
        val deadlineCount: Int
            get() = deadlines.size

        /** Past its last deadline a job is held against that. */
        fun deadline(level: Int) = deadlines[minOf(level, deadlines.lastIndex)]
    }

    /** Which jobs can be kept within a deadline, and which can't; both in the order of planning. */
    private class Feasibility(val inTime: List<TimedJob>, val late: List<TimedJob>)

    /** [jobs] in their order; [cpus] is what the team can count on at time of day [wall]. */
    fun sort(jobs: List<Job>, cpus: Double, wall: Micros): List<Job> {
        if (jobs.size < 2) return jobs
        val bySubmission = compareBy<Job>({ it.acceptedAt.value }, { it.id.value })
        val (failing, good) = jobs.sortedWith(bySubmission).partition { it.isFailing }
        val (overdue, others) = good.partition { !it.hasStarted && wall - it.acceptedAt > maxWait }
        val (timed, untimed) = others.partition { deadlines(it.spec).isNotEmpty() }
        if (timed.size < 2 || cpus <= 0) return overdue + others + failing
        return overdue + byDeadline(timed.map { timedJob(it, cpus, wall) }) + untimed + failing
    }

    private fun byDeadline(timed: List<TimedJob>): List<Job> {
        val sorted = ArrayList<Job>()
        var open = timed
        var spent = 0.0
        for (level in 0 until timed.maxOf { it.deadlineCount }) {
            val feasibility = keepInTime(open, level, spent)
            spent += feasibility.inTime.sumOf { it.work }
            feasibility.inTime.mapTo(sorted) { it.job }
            open = feasibility.late
        }
        return open.sortedBy { it.work }.mapTo(sorted) { it.job }
    }

    /** Seconds after acceptance by which users expect a job like this to be done, ascending. */
    private fun deadlines(spec: JobSpec): List<Double> {
        val objectives = objectivesByClass[spec.jobClass].orEmpty()
        val own = spec.deadlineS
        val factors =
            objectives.filter { it.kind == DEADLINE }.map { it.times }.ifEmpty { listOf(1.0) }
        val fromOwn = if (own == null) emptyList() else factors.map { it * own }
        return (fromOwn + objectives.filter { it.kind == FINISHED }.map { it.withinS }).sorted()
    }

    private fun timedJob(job: Job, cpus: Double, wall: Micros): TimedJob {
        val spec = job.spec
        val run = estimates.runTime(spec).inSeconds
        val tasksLeft = spec.tasks - job.doneCount - job.placements.size * PLACED_TASK_DONE_SHARE
        val age = (wall - job.acceptedAt).inSeconds
        val deadlines = deadlines(spec).map { it - age }.toDoubleArray()
        return TimedJob(job, tasksLeft * spec.cpus / cpus * run, run, deadlines)
    }

    /** Moore and Hodgson's rule, after [spent] seconds of other work. */
    private fun keepInTime(open: List<TimedJob>, level: Int, spent: Double): Feasibility {
        val inTime = PriorityQueue<TimedJob>(compareByDescending { it.work })
        val late = ArrayList<TimedJob>()
        var busy = spent
        for (job in open.sortedBy { it.deadline(level) }) {
            if (job.run > job.deadline(level)) {
                late.add(job)
                continue
            }
            inTime.add(job)
            busy += job.work
            while (busy > job.deadline(level) && inTime.isNotEmpty()) {
                val longest = inTime.poll()
                busy -= longest.work
                late.add(longest)
            }
        }
        return Feasibility(inTime.sortedBy { it.deadline(level) }, late)
    }

    private companion object {
        /** Kinds of objectives: a factor of the job's own deadline, and a time after acceptance. */
        const val DEADLINE = "deadline"
        const val FINISHED = "finished"

        /** Of a task that is placed, about half is still to be done. */
        const val PLACED_TASK_DONE_SHARE = 0.5
    }
}
