package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineTypes
import wardmux.scheduling.ClusterState
import wardmux.worker.WorkerHeartbeat

/** Looks up machines by id, adds new machines, and remembers the ids of deleted ones. */
class MachineRegistry(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val types: MachineTypes,
) {
    private val deleted = HashSet<MachineId>()

    /**
     * Whether the provider has confirmed the deletion of the machine with this [id] to this leader.
     * Heartbeats of such a machine that still arrive were delayed.
     */
    fun isDeleted(id: MachineId): Boolean = id in deleted

    /** Records that the provider has confirmed the deletion of the machine with this [id]. */
    fun markDeleted(id: MachineId) {
        deleted.add(id)
    }

    /**
     * Returns the machine with this [id], and adds it if it is new. Returns null if it is new and
     * no machine type has the label [typeLabel].
     */
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
     * Returns the machine with this [id], which stored records name without its type. If the
     * machine is new, it is added with an arbitrary type, because such a machine gets no new tasks.
     * Returns null if no machine types are known.
     */
    fun findOrAddRecorded(id: MachineId): Machine? {
        val type = types.types?.firstOrNull() ?: return null
        return findOrAdd(id, type.label, zone = "", spot = false)
    }

    /**
     * Returns the machine that sent [heartbeat], and adds it if it is new. Returns null if it is
     * new and its type is not known.
     */
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
