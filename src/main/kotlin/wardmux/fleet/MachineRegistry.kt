package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineTypes
import wardmux.scheduling.ClusterState
import wardmux.worker.WorkerHeartbeat

/** Finds machines by id, adds those that are new, and remembers those that were deleted. */
class MachineRegistry(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val types: MachineTypes,
) {
    private val deleted = HashSet<MachineId>()

    /** Whether this leader had the machine deleted; heartbeats that still arrive are late. */
    fun isDeleted(id: MachineId): Boolean = id in deleted

    /** The provider has confirmed that the machine is deleted. */
    fun markDeleted(id: MachineId) {
        deleted.add(id)
    }

    /** The machine, which is added if it was not known; null if its type is not known. */
    fun findOrAdd(id: MachineId, typeLabel: String, zone: String, spot: Boolean): Machine? {
        cluster.machines[id]?.let {
            return it
        }
        val type = types.byLabel(typeLabel) ?: return null
        val machine = Machine(id, type, zone, spot)
        machine.idleSince = context.now
        cluster.add(machine)
        return machine
    }

    /**
     * A machine of which only records tell, not its type: any type serves, as such a machine gets
     * no tasks. Null if no types are known.
     */
    fun findOrAddRecorded(id: MachineId): Machine? {
        val type = types.types?.firstOrNull() ?: return null
        return findOrAdd(id, type.label, zone = "", spot = false)
    }

    /** The machine that sent [heartbeat]; null if its type is not known. */
    fun findOrAdd(heartbeat: WorkerHeartbeat): Machine? {
        val id = MachineId(heartbeat.machine)
        cluster.machines[id]?.let {
            return it
        }
        val machine = findOrAdd(id, heartbeat.type, heartbeat.zone, heartbeat.spot) ?: return null
        machine.hasOnlyStaleHeartbeats = true
        return machine
    }
}
