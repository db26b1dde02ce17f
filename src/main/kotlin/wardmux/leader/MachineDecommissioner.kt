package wardmux.leader

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.scheduling.PlacementStore

/** Takes machines out of service for good: nothing is placed there, and they are deleted. */
class MachineDecommissioner(private val placementStore: PlacementStore) {
    private val log = logger<MachineDecommissioner>()

    /** Marks [machine] and has that recorded; without effect if it is decommissioned already. */
    fun decommission(machine: Machine, reason: String) {
        if (machine.decommissioned) return
        log.info(
            "decommissioning {}: {}; {} placements",
            machine.id,
            reason,
            machine.placements.size,
        )
        machine.decommissioned = true
        machine.decommissionReason = reason
        placementStore.decommission(machine)
    }
}
