package wardmux.drain

import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Maintenance
import wardmux.model.Placement
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility

/** Finds room for tasks that are to be moved, on machines that are up and stay. */
class RelocationFeasibility(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
) {
    private class Room(var cpus: Double, var gpus: Double, var memoryGb: Double)

    /**
     * The tasks of [moving] for which there is no room now, the largest placed first; machines that
     * are being drained have none, nor have those that are [leaving] next.
     */
    fun unseated(
        moving: List<Placement>,
        leaving: Set<Machine> = emptySet(),
        /** Machines of a step that would take tasks again. */
        staying: Set<Machine> = emptySet(),
    ): List<Placement> {
        val open =
            cluster.machines.values.filter {
                (it.maintenance == Maintenance.NONE || it in staying) &&
                    it !in leaving &&
                    eligibility.usable(it)
            }
        val rooms = open.associateWith { Room(it.freeCpus, it.freeGpus, it.freeMemoryGb) }
        val zones = HashMap<Job, HashMap<String, Int>>()
        return moving.sortedByDescending { it.job.spec.cpus }.filterNot { seat(it, rooms, zones) }
    }

    private fun seat(
        placement: Placement,
        rooms: Map<Machine, Room>,
        zones: HashMap<Job, HashMap<String, Int>>,
    ): Boolean {
        val job = placement.job
        val taken = zones.getOrPut(job) { HashMap(eligibility.zonesOf(job)) }
        val without = HashMap(taken)
        without.computeIfPresent(placement.zone) { _, n -> (n - 1).takeIf { it > 0 } }
        val machine =
            rooms.keys.firstOrNull { takes(it, rooms.getValue(it), job, without) } ?: return false
        book(rooms.getValue(machine), job)
        without.merge(machine.zone, 1, Int::plus)
        zones[job] = without
        return true
    }

    private fun takes(machine: Machine, room: Room, job: Job, zones: Map<String, Int>): Boolean {
        val spec = job.spec
        return eligibility.allowed(spec, machine) &&
            spec.cpus <= room.cpus + MachineType.EPSILON &&
            spec.gpus <= room.gpus + MachineType.EPSILON &&
            spec.memoryGb <= room.memoryGb + MachineType.EPSILON &&
            eligibility.mayGoTo(machine.zone, spec, zones)
    }

    private fun book(room: Room, job: Job) {
        room.cpus -= job.spec.cpus
        room.gpus -= job.spec.gpus
        room.memoryGb -= job.spec.memoryGb
    }
}
