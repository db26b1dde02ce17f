package wardmux.drain

import wardmux.model.Machine

/** The machines as the leader knows them from the cloud. */
interface MachineInventory {
    /** The cloud's list of machines was read in this term. */
    val isListed: Boolean

    /** The list is recent enough for a machine that is not known to have been deleted. */
    val isComplete: Boolean

    /** Returns [machine] to the cloud. */
    fun decommission(machine: Machine, reason: String)
}
