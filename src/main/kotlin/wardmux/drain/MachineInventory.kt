package wardmux.drain

import wardmux.model.Machine

/** The machines that the leader knows from the cloud's list. */
interface MachineInventory {
    /** True if the cloud's list of machines has been read in this term. */
    val isListed: Boolean

    /** True if a machine that is not in the list can be assumed to be deleted. */
    val isComplete: Boolean

    /** Returns [machine] to the cloud for [reason]. */
    fun decommission(machine: Machine, reason: String)
}
