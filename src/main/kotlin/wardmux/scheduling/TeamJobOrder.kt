package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.config.ServiceLevelObjective
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Micros

/**
 * The order of one team's jobs of one urgency. Jobs without a time to be done by go in the order of
 * submission. Where more is asked than the team's cap can do in time, it is decided for the class
 * as a whole which jobs are kept in time, so that as many as possible are: by deadline, and
 * whenever one would be late, the job with the most work left is put behind (Moore and Hodgson's
 * rule). What is put behind is held against the class's next, later deadline in the same way. A job
 * that is at fault comes last. Being put behind is bounded: what has not begun for [longestWait]
 * goes before all else, so that the largest jobs are not held up for ever by smaller ones.
 */
class TeamJobOrder(
    private val objectives: List<ServiceLevelObjective>,
    private val estimates: RuntimeEstimates,
    private val longestWait: Micros,
) {
    private class Entry(val job: Job, val work: Double, val run: Double, val due: DoubleArray) {
        /** Seconds from now; past its last limit a job is held against that. */
        fun due(level: Int) = due[minOf(level, due.lastIndex)]
    }

    /** [cpus] is what the team can count on now. */
    fun sort(jobs: List<Job>, cpus: Double, wall: Micros): List<Job> {
        if (jobs.size < 2) return jobs
        val bySubmission = compareBy<Job>({ it.acceptedAt.value }, { it.id.value })
        val (faulty, good) = jobs.sortedWith(bySubmission).partition { it.isFailing }
        val (overdue, others) =
            good.partition { !it.hasStarted && wall - it.acceptedAt > longestWait }
        val (timed, untimed) = others.partition { limits(it.spec).isNotEmpty() }
        if (timed.size < 2 || cpus <= 0) return overdue + others + faulty
        var open = timed.map { entry(it, cpus, wall) }
        val sorted = ArrayList<Job>(overdue)
        var spent = 0.0
        val levels = open.maxOf { it.due.size }
        for (level in 0 until levels) {
            val (kept, late) = keepInTime(open, level, spent)
            spent += kept.sumOf { it.work }
            kept.mapTo(sorted) { it.job }
            open = late
        }
        open.sortedBy { it.work }.mapTo(sorted) { it.job }
        return sorted + untimed + faulty
    }

    /** Seconds after acceptance by which users expect a job like this to be done, ascending. */
    private fun limits(spec: JobSpec): List<Double> {
        val own = byClass[spec.jobClass].orEmpty()
        val due = spec.deadlineS
        val times = own.filter { it.kind == "deadline" }.map { it.times }.ifEmpty { listOf(1.0) }
        val deadlines = if (due == null) emptyList() else times.map { it * due }
        return (deadlines + own.filter { it.kind == "finished" }.map { it.withinS }).sorted()
    }

    private val byClass = objectives.groupBy { it.jobClass }

    private fun entry(job: Job, cpus: Double, wall: Micros): Entry {
        val spec = job.spec
        val run = estimates.runTime(spec).inSeconds
        val left = spec.tasks - job.doneCount - job.placements.size * HALF
        val age = (wall - job.acceptedAt).inSeconds
        val due = limits(spec).map { it - age }.toDoubleArray()
        return Entry(job, left * spec.cpus / cpus * run, run, due)
    }

    private fun keepInTime(
        open: List<Entry>,
        level: Int,
        spent: Double,
    ): Pair<List<Entry>, List<Entry>> {
        val kept = PriorityQueue<Entry>(compareByDescending { it.work })
        val late = ArrayList<Entry>()
        var busy = spent
        for (entry in open.sortedBy { it.due(level) }) {
            if (entry.run > entry.due(level)) {
                late.add(entry)
                continue
            }
            kept.add(entry)
            busy += entry.work
            while (busy > entry.due(level) && kept.isNotEmpty()) {
                val longest = kept.poll()
                busy -= longest.work
                late.add(longest)
            }
        }
        return kept.sortedBy { it.due(level) } to late
    }

    private companion object {
        /** Of a task that is out, about half is still to be done. */
        const val HALF = 0.5
    }
}
