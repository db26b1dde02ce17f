package wardmux.fleet

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.scheduling.PlacementStore

/**
 * Takes machines out of use for good: this is recorded, then the provider is asked to delete them.
 */
class MachineDecommissioner(private val placementStore: PlacementStore) {
    private val log = logger<MachineDecommissioner>()

    /** Decommissions [machine], unless that was done before; [reason] is stored. */
    fun decommission(machine: Machine, reason: String) {
        if (machine.isDecommissioned) return
        log.info("decommissioning {}: {}; {} tasks", machine.id, reason, machine.placements.size)
        machine.decommission(reason)
        placementStore.decommission(machine)
    }
}

/** Why machines are decommissioned. These texts are stored, so they stay as they are. */
internal object DecommissionReason {
    const val PREEMPTED = "taken back"
    const val START_UNANSWERED = "orders unanswered"
    const val LEASE_EXPIRED = "lease over"
    const val SILENT = "silent"
    const val SILENT_AND_UNREACHABLE = "silent and not to be reached"
    const val STARTS_NOT_REPORTED = "orders do not reach it"
    const val TOKEN_NEVER_ADOPTED = "never took this leader's token"
    const val CANCELLED_TASKS_UNREPORTED = "cancelled tasks, never reported"
    const val NEVER_REPORTED = "never reported to this leader"
    const val TASKS_FAIL = "tasks fail on it"
}
