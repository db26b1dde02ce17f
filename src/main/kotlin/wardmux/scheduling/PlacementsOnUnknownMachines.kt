package wardmux.scheduling

import wardmux.model.MachineId
import wardmux.model.Placement

/** Placements read from records, on machines that have sent no heartbeat yet. */
class PlacementsOnUnknownMachines {
    private val placements = HashMap<MachineId, LinkedHashSet<Placement>>()

    /** The machines that records name and that are otherwise unknown. */
    val machines: Set<MachineId>
        get() = placements.keys

    /** The placements on [machine]. */
    fun on(machine: MachineId): Collection<Placement> = placements[machine].orEmpty()

    /** True if tasks of a cancelled job may be on [machine]. */
    fun holdsCancelled(machine: MachineId) = on(machine).any { it.job.isCancelled }

    internal fun add(placement: Placement) {
        placements.getOrPut(placement.machine) { LinkedHashSet() }.add(placement)
    }

    internal fun remove(placement: Placement) {
        val onMachine = placements[placement.machine] ?: return
        onMachine.remove(placement)
        if (onMachine.isEmpty()) placements.remove(placement.machine)
    }

    /** [machine] is known now: gives the placements on it, which are no longer kept here. */
    internal fun removeAll(machine: MachineId): Collection<Placement> =
        placements.remove(machine).orEmpty()

    internal fun clear() = placements.clear()
}
