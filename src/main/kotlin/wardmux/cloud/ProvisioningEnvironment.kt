package wardmux.cloud

import wardmux.fleet.MachineRegistry
import wardmux.model.Machine
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePools
import wardmux.scheduling.Planner
import wardmux.scheduling.TaskEvictor
import wardmux.store.KeyValueStore

/** Decommissions machines: from then on they take no tasks and are to be deleted. */
interface MachineDecommissioning {
    /** Records that [machine] is decommissioned, after which it is deleted. */
    fun decommission(machine: Machine, reason: String)

    /** Removes the record of a machine that was deleted long enough ago. */
    fun dropRecord(machine: Machine)
}

/** What a leader's term provides for renting and returning machines. */
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
