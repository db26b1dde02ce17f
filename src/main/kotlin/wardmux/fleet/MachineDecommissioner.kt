package wardmux.fleet

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.scheduling.PlacementStore

/**
 * Takes machines out of use permanently. The decommissioning is first written to the key-value
 * store; then the cloud provider is asked to delete the machine.
 */
class MachineDecommissioner(private val placementStore: PlacementStore) {
    private val log = logger<MachineDecommissioner>()

    /**
     * Decommissions [machine], unless it is decommissioned already. The text [reason], one of
     * [DecommissionReason], is stored with the machine.
     */
    fun decommission(machine: Machine, reason: String) {
        if (machine.isDecommissioned) return
        log.info(
            "decommissioning machine {} with {} placements: {}",
            machine.id,
            machine.placements.size,
            reason,
        )
        machine.decommission(reason)
        placementStore.decommission(machine)
    }
}

/**
 * Reasons for decommissioning a machine. The texts are stored with the machine and must not be
 * changed.
 */
internal object DecommissionReason {
    /** The provider's preemption notice has run out and the machine has fallen silent. */
    const val PREEMPTED = "taken back"

    /** A direct start command got no response, and no tasks are left on the machine. */
    const val START_UNANSWERED = "orders unanswered"

    /** The machine has to remember very many ended attempts, and no tasks are left on it. */
    const val MANY_ENDED_ATTEMPTS = "lists very many ended tasks"

    /** The lease expired while the machine, which holds tasks, was silent. */
    const val LEASE_EXPIRED = "lease over"

    /** No heartbeat arrived for [HeartbeatTimeouts.lost]. */
    const val SILENT = "silent"

    /** No heartbeat arrived for [HeartbeatTimeouts.unreachable], and a probe failed. */
    const val SILENT_AND_UNREACHABLE = "silent and not to be reached"

    /** The machine sends heartbeats, but they do not list a task whose start was sent to it. */
    const val STARTS_NOT_REPORTED = "orders do not reach it"

    /** The machine sent heartbeats, but only under a fencing token older than this leader's. */
    const val TOKEN_NEVER_ADOPTED = "never took this leader's token"

    /**
     * The machine may hold tasks of cancelled jobs and sent no heartbeat under this leader's token.
     */
    const val CANCELLED_TASKS_UNREPORTED = "cancelled tasks, never reported"

    /**
     * The machine has placements, or is listed as running, but sent no heartbeat under this
     * leader's token.
     */
    const val NEVER_REPORTED = "never reported to this leader"

    /**
     * Tasks of at least two jobs failed on the machine, or several tasks in a row failed whose job
     * does not fail on other machines.
     */
    const val TASKS_FAIL = "tasks fail on it"
}
