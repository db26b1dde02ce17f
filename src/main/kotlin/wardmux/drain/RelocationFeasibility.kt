package wardmux.drain

import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Maintenance
import wardmux.model.Placement
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility

/** Checks whether evicted tasks fit on the schedulable machines that are not being drained. */
class RelocationFeasibility(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
) {
    private class FreeResources(var cpus: Double, var gpus: Double, var memoryGb: Double)

    /**
     * The tasks of [evicted] for which there is no free capacity now, if the tasks with the most
     * CPUs are placed first. No task is placed on a machine in [leaving], nor on a machine that is
     * being drained unless it is in [staying].
     */
    fun unplaceableTasks(
        evicted: List<Placement>,
        leaving: Set<Machine> = emptySet(),
        staying: Set<Machine> = emptySet(),
    ): List<Placement> {
        val candidates =
            cluster.machines.values.filter {
                (it.maintenance == Maintenance.NONE || it in staying) &&
                    it !in leaving &&
                    eligibility.isSchedulable(it)
            }
        val free =
            candidates.associateWith { FreeResources(it.freeCpus, it.freeGpus, it.freeMemoryGb) }
        val taskCountsByZone = HashMap<Job, HashMap<String, Int>>()
        return evicted
            .sortedByDescending { it.job.spec.cpus }
            .filterNot { place(it, free, taskCountsByZone) }
    }

    private fun place(
        placement: Placement,
        free: Map<Machine, FreeResources>,
        taskCountsByZone: HashMap<Job, HashMap<String, Int>>,
    ): Boolean {
        val job = placement.job
        val tasksByZone =
            taskCountsByZone.getOrPut(job) { HashMap(eligibility.taskCountByZone(job)) }
        val otherTasksByZone = HashMap(tasksByZone)
        otherTasksByZone.computeIfPresent(placement.zone) { _, n -> (n - 1).takeIf { it > 0 } }
        val machine =
            free.keys.firstOrNull { fits(it, free.getValue(it), job, otherTasksByZone) }
                ?: return false
        reserve(free.getValue(machine), job)
        otherTasksByZone.merge(machine.zone, 1, Int::plus)
        taskCountsByZone[job] = otherTasksByZone
        return true
    }

    private fun fits(
        machine: Machine,
        free: FreeResources,
        job: Job,
        taskCountsByZone: Map<String, Int>,
    ): Boolean {
        val spec = job.spec
        return eligibility.satisfiesConstraints(spec, machine) &&
            spec.cpus <= free.cpus + MachineType.RESOURCE_TOLERANCE &&
            spec.gpus <= free.gpus + MachineType.RESOURCE_TOLERANCE &&
            spec.memoryGb <= free.memoryGb + MachineType.RESOURCE_TOLERANCE &&
            eligibility.isZoneAllowed(machine.zone, spec, taskCountsByZone)
    }

    private fun reserve(free: FreeResources, job: Job) {
        free.cpus -= job.spec.cpus
        free.gpus -= job.spec.gpus
        free.memoryGb -= job.spec.memoryGb
    }
}
