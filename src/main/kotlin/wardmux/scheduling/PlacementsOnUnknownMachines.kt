package wardmux.scheduling

import wardmux.model.MachineId
import wardmux.model.Placement

/**
 * Placements read from records whose machines are not known otherwise: they have sent no heartbeat
 * yet, and the cloud has not listed them.
 */
class PlacementsOnUnknownMachines {
    private val placements = HashMap<MachineId, LinkedHashSet<Placement>>()

    /** The machines that are known only from records. */
    val machines: Set<MachineId>
        get() = placements.keys

    /** The placements on [machine]. */
    fun on(machine: MachineId): Collection<Placement> = placements[machine].orEmpty()

    /** True if a placement of a cancelled job is recorded on [machine]. */
    fun holdsCancelled(machine: MachineId) = on(machine).any { it.job.isCancelled }

    internal fun add(placement: Placement) {
        placements.getOrPut(placement.machine) { LinkedHashSet() }.add(placement)
    }

    internal fun remove(placement: Placement) {
        val onMachine = placements[placement.machine] ?: return
        onMachine.remove(placement)
        if (onMachine.isEmpty()) placements.remove(placement.machine)
    }

    /** Removes and returns the placements on [machine], which has become known. */
    internal fun removeAll(machine: MachineId): Collection<Placement> =
        placements.remove(machine).orEmpty()

    internal fun clear() = placements.clear()
}
