package wardmux.dispatch

import java.util.PriorityQueue
import wardmux.Micros
import wardmux.app.ObjectiveFacts
import wardmux.intake.JobSpec

/**
 * The order of one team's jobs of one urgency. Jobs without a time to be done by go in the order of
 * submission. Where more is asked than the team's cap can do in time, it is decided for the class
 * as a whole which jobs are kept in time, so that as many as possible are: by deadline, and
 * whenever one would be late, the job with the most work left is put behind (Moore and Hodgson's
 * rule). What is put behind is held against the class's next, later deadline in the same way. A job
 * that is at fault comes last.
 */
class TeamOrder(private val objectives: List<ObjectiveFacts>, private val estimates: Estimates) {
    private class Entry(val job: Job, val work: Double, val run: Double)

    /** [cpus] is what the team can count on now. */
    fun sort(jobs: List<Job>, cpus: Double, wall: Micros): List<Job> {
        val bySubmission = compareBy<Job>({ it.acceptedAt.value }, { it.id.value })
        val (faulty, good) = jobs.sortedWith(bySubmission).partition { it.atFault }
        val (timed, untimed) = good.partition { limits(it.spec).isNotEmpty() }
        if (timed.size < 2 || cpus <= 0) return good + faulty
        var open = timed.map { entry(it, cpus) }
        val sorted = ArrayList<Job>()
        var spent = 0.0
        val levels = timed.maxOf { limits(it.spec).size }
        for (level in 0 until levels) {
            val (kept, late) = keepInTime(open, level, spent, wall)
            spent += kept.sumOf { it.work }
            kept.mapTo(sorted) { it.job }
            open = late
        }
        open.sortedBy { it.work }.mapTo(sorted) { it.job }
        return sorted + untimed + faulty
    }

    /** Seconds after acceptance by which users expect a job like this to be done, ascending. */
    private fun limits(spec: JobSpec): List<Double> {
        val own = objectives.filter { it.jobClass == spec.jobClass }
        val due = spec.deadlineS
        val times = own.filter { it.kind == "deadline" }.map { it.times }.ifEmpty { listOf(1.0) }
        val deadlines = if (due == null) emptyList() else times.map { it * due }
        return (deadlines + own.filter { it.kind == "finished" }.map { it.withinS }).sorted()
    }

    private fun entry(job: Job, cpus: Double): Entry {
        val spec = job.spec
        val run = estimates.runTime(spec).seconds
        val left = spec.tasks - job.doneCount - job.placements.size * HALF
        return Entry(job, left * spec.cpus / cpus * run, run)
    }

    private fun keepInTime(
        open: List<Entry>,
        level: Int,
        spent: Double,
        wall: Micros,
    ): Pair<List<Entry>, List<Entry>> {
        fun due(entry: Entry): Double {
            val limits = limits(entry.job.spec)
            val limit = limits.getOrElse(level) { limits.last() }
            return limit - (wall - entry.job.acceptedAt).seconds
        }
        val kept = PriorityQueue<Entry>(compareByDescending { it.work })
        val late = ArrayList<Entry>()
        var busy = spent
        for (entry in open.sortedBy { due(it) }) {
            if (entry.run > due(entry)) {
                late.add(entry)
                continue
            }
            kept.add(entry)
            busy += entry.work
            while (busy > due(entry) && kept.isNotEmpty()) {
                val longest = kept.poll()
                busy -= longest.work
                late.add(longest)
            }
        }
        return kept.sortedBy { due(it) } to late
    }

    private companion object {
        /** Of a task that is out, about half is still to be done. */
        const val HALF = 0.5
    }
}
