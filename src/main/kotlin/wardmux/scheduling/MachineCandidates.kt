package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineType

/** Counts the machines that a planner has examined, as a measure of the cost of its decisions. */
internal class ExaminedMachines {
    var count = 0L
}

/**
 * The machines that tasks of a job may be placed on, the best first. They are scored once for all
 * tasks of the job. Changes caused by placements of other jobs are noticed when a machine reaches
 * the head of the queue.
 */
internal class MachineCandidates(
    private val job: Job,
    machines: List<Machine>,
    private val eligibility: Eligibility,
    /**
     * True if machines are filled one by one, because the job's page can hold all its tasks only if
     * they are on few machines.
     */
    private val packsDensely: Boolean,
    private val examined: ExaminedMachines,
) {
    private class Candidate(val machine: Machine, val score: Double)

    private val usedMachines =
        if (packsDensely) job.placements.values.mapTo(HashSet()) { it.machine }
        else HashSet<MachineId>()

    private val queue =
        PriorityQueue<Candidate>(maxOf(1, machines.size), compareBy { it.score }).apply {
            for (machine in machines) add(candidate(machine))
        }

    /** True if no candidate is left. */
    val isEmpty: Boolean
        get() = queue.isEmpty()

    private fun candidate(machine: Machine) = Candidate(machine, scoreOf(machine))

    /** The score of [machine] for the next task of the job; lower is better. */
    private fun scoreOf(machine: Machine): Double {
        if (!packsDensely) return eligibility.score(job.spec, machine) + zonePenalty(machine)
        return if (machine.id in usedMachines) -USED_MACHINE_BONUS
        else -machine.roomFor(job.spec).toDouble()
    }

    /**
     * The penalty for zones that already have many tasks of a spread job. The loss of a zone costs
     * such a job least if its tasks are divided evenly among the zones.
     */
    private fun zonePenalty(machine: Machine): Double {
        if (!job.spec.spread) return 0.0
        val tasksInZone = eligibility.taskCountByZone(job)[machine.zone] ?: 0
        return ZONE_SPREAD_WEIGHT * tasksInZone / job.spec.tasks
    }

    /** Returns the best machine that has room for one more task, or null if there is none. */
    fun best(): Machine? {
        val taskCounts = eligibility.taskCountByZone(job)
        while (true) {
            val candidate = queue.peek() ?: return null
            examined.count++
            val machine = candidate.machine
            if (
                !machine.fits(job.spec) ||
                    !eligibility.isZoneAllowed(machine.zone, job.spec, taskCounts)
            ) {
                queue.poll()
                continue
            }
            val rescored = candidate(machine)
            if (rescored.score <= candidate.score + MachineType.RESOURCE_TOLERANCE) return machine
            queue.poll()
            queue.add(rescored)
        }
    }

    /**
     * Records that a task of the job was placed on [machine], which [best] returned. The machine
     * stays a candidate if it has room for another task.
     */
    fun onPlaced(machine: Machine) {
        queue.poll()
        if (packsDensely) usedMachines.add(machine.id)
        if (machine.fits(job.spec)) queue.add(candidate(machine))
    }

    private companion object {
        /**
         * Larger than the number of tasks that any machine has room for, so that used machines come
         * first.
         */
        const val USED_MACHINE_BONUS = 1e6

        /**
         * With this weight, a quarter more of the job's tasks in a zone outweighs the higher price
         * of an ordinary machine, as compared with a spot machine.
         */
        const val ZONE_SPREAD_WEIGHT = 5.0
    }
}
