package wardmux.cloud

import wardmux.fleet.MachineRegistry
import wardmux.model.Machine
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePools
import wardmux.scheduling.Planner
import wardmux.scheduling.TaskEvictor
import wardmux.store.KeyValueStore

/** Decommissions machines. A decommissioned machine takes no tasks and is to be deleted. */
interface MachineDecommissioning {
    /** Records that [machine] is decommissioned and the [reason]; it is deleted afterwards. */
    fun decommission(machine: Machine, reason: String)

    /**
     * Removes the record of [machine]. The machine must have been deleted long enough ago that the
     * cloud's list no longer shows it.
     */
    fun dropRecord(machine: Machine)
}

/** The components of a leader's term that renting and returning machines depends on. */
class ProvisioningEnvironment(
    val cloud: CloudClient,
    val store: KeyValueStore,
    val cluster: ClusterState,
    val registry: MachineRegistry,
    val planner: Planner,
    val pools: MachinePools,
    val evictor: TaskEvictor,
    val decommissioning: MachineDecommissioning,
)
