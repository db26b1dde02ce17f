package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineType

/** Counts the machines that a planner has examined: what its decisions cost. */
internal class ExaminedMachines {
    var count = 0L
}

/**
 * The machines that a job's tasks may go to, the best first. They are scored once for all its
 * tasks; what others take meanwhile is found when a machine's turn comes.
 */
internal class NodeCandidates(
    private val job: Job,
    machines: List<Machine>,
    private val eligibility: Eligibility,
    /** Machines are filled one by one, as the job's page holds all its tasks only on few. */
    private val packsDensely: Boolean,
    private val examined: ExaminedMachines,
) {
    private class Candidate(val machine: Machine, val score: Double)

    private val used =
        if (packsDensely) job.placements.values.mapTo(HashSet()) { it.machine }
        else HashSet<MachineId>()

    private val queue =
        PriorityQueue<Candidate>(maxOf(1, machines.size), compareBy { it.score }).apply {
            for (machine in machines) add(candidate(machine))
        }

    /** True if there is no machine to try. */
    val isEmpty: Boolean
        get() = queue.isEmpty()

    private fun candidate(machine: Machine) = Candidate(machine, scoreOf(machine))

    /** The smaller the better. */
    private fun scoreOf(machine: Machine): Double {
        if (!packsDensely) return eligibility.score(job.spec, machine) + zonePenalty(machine)
        return if (machine.id in used) -USED_MACHINE_BONUS
        else -machine.roomFor(job.spec).toDouble()
    }

    /** A job that is spread loses least with a zone if all zones have as much of it. */
    private fun zonePenalty(machine: Machine): Double {
        if (!job.spec.spread) return 0.0
        val there = eligibility.taskCountByZone(job)[machine.zone] ?: 0
        return SPREAD_WEIGHT * there / job.spec.tasks
    }

    /** The best machine that has room for one more task, or null. */
    fun best(): Machine? {
        val zones = eligibility.taskCountByZone(job)
        while (true) {
            val candidate = queue.peek() ?: return null
            examined.count++
            val machine = candidate.machine
            if (
                !machine.fits(job.spec) || !eligibility.isZoneAllowed(machine.zone, job.spec, zones)
            ) {
                queue.poll()
                continue
            }
            val current = candidate(machine)
            if (current.score <= candidate.score + MachineType.RESOURCE_TOLERANCE) return machine
            queue.poll()
            queue.add(current)
        }
    }

    /** One more task of the job was placed on [machine], the [best]; the next may go there too. */
    fun onPlaced(machine: Machine) {
        queue.poll()
        if (packsDensely) used.add(machine.id)
        if (machine.fits(job.spec)) queue.add(candidate(machine))
    }

    private companion object {
        /** More tasks than any machine has room for. */
        const val USED_MACHINE_BONUS = 1e6

        /**
         * A quarter of the tasks in one zone more outweighs what an ordinary machine costs more.
         */
        const val SPREAD_WEIGHT = 5.0
    }
}
