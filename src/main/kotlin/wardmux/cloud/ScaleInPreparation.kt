package wardmux.cloud

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility
import wardmux.scheduling.MachinePool
import wardmux.scheduling.TaskEvictor

/**
 * Prepares the scale-in of ordinary machines: cordons surplus machines, which [ScaleIn] returns
 * once they are empty. Tasks of array jobs end by themselves. Replicas of services do not, so they
 * are evicted, each only if another machine has room for it and its image, so that it restarts
 * fast.
 */
class ScaleInPreparation(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val evictor: TaskEvictor,
) {
    private val log = logger<ScaleInPreparation>()

    /**
     * Cordons machines of [poolMachines] whose capacity is within [surplus], or uncordons machines
     * to cover a negative [surplus]. The unit is a machine of the pool's base type.
     */
    fun adjustCordons(pool: MachinePool, poolMachines: List<Machine>, surplus: Double) {
        if (surplus < 0) uncordon(pool, poolMachines, -surplus)
        else cordon(pool, poolMachines, surplus)
    }

    private fun uncordon(pool: MachinePool, poolMachines: List<Machine>, missing: Double) {
        var left = missing
        for (machine in poolMachines.filter { it.isScalingIn }.sortedByDescending { it.load }) {
            if (left <= 0) return
            machine.isScalingIn = false
            left -= pool.weightOf(machine.type)
            cluster.markChanged()
            log.info(
                "uncordoned machine {}, which was scaling in: its capacity is needed",
                machine.id,
            )
        }
    }

    private fun cordon(pool: MachinePool, poolMachines: List<Machine>, surplus: Double) {
        var left = surplus
        val candidates = poolMachines.filter { !it.spot && eligibility.isSchedulable(it) }
        val order =
            compareByDescending<Machine> { pool.relativeCost(it.type, it.spot) }.thenBy { it.load }
        for (machine in candidates.filter { !it.isEmpty }.sortedWith(order)) {
            val weight = pool.weightOf(machine.type)
            if (left < weight) continue
            machine.isScalingIn = true
            left -= weight
            log.info(
                "cordoned machine {} to scale in: it still holds {} tasks",
                machine.id,
                machine.placements.size,
            )
        }
    }

    /**
     * Evicts replicas of services from cordoned machines, while fewer than [MAX_STOPPING_REPLICAS]
     * tasks of the cluster are stopping. Waits while there are operators' drains.
     */
    fun evictReplicas() {
        val cordoned = cluster.machines.values.filter { it.isScalingIn && !it.isDecommissioned }
        // Operators' drains evict within disruption budgets. Evictions for scale-in would use up
        // these budgets.
        if (cordoned.isEmpty() || cluster.hasDrains) return
        val stopping =
            cluster.machines.values.sumOf { m -> m.placements.values.count { it.isStopping } }
        var left = MAX_STOPPING_REPLICAS - stopping
        val targets = cluster.machines.values.filter { eligibility.isSchedulable(it) }
        val reservedCpus = HashMap<Machine, Double>()
        for (machine in cordoned.sortedBy { it.placements.size }) {
            for (replica in machine.placements.values) {
                if (left <= 0) return
                if (!isEvictable(replica)) continue
                val target =
                    targets.firstOrNull { hasPlaceFor(it, replica, reservedCpus) } ?: continue
                reservedCpus.merge(target, replica.job.spec.cpus, Double::plus)
                evictor.evict(replica, "its machine is being scaled in")
                left--
            }
        }
    }

    private fun isEvictable(placement: Placement) =
        placement.job.spec.kind == JobKind.SERVICE &&
            placement.status == TaskStatus.RUNNING &&
            placement.isCommitted &&
            !placement.isStopping &&
            !placement.job.hasEnded &&
            // Only one replica of a service is stopped at a time.
            placement.job.placements.values.none { it.isStopping } &&
            placement.job.waiting == 0

    /**
     * True if [machine] may run [replica], has its image and has room for it. The CPUs in
     * [reservedCpus] do not count as free: they are for replicas that were evicted in the same
     * call.
     */
    private fun hasPlaceFor(
        machine: Machine,
        replica: Placement,
        reservedCpus: Map<Machine, Double>,
    ): Boolean {
        val spec = replica.job.spec
        if (!eligibility.satisfiesConstraints(spec, machine) || !machine.fits(spec)) return false
        if (
            machine.freeCpus - (reservedCpus[machine] ?: 0.0) <
                spec.cpus - MachineType.RESOURCE_TOLERANCE
        )
            return false
        val zones = HashMap(eligibility.taskCountByZone(replica.job))
        zones.merge(replica.zone, -1, Int::plus)
        return eligibility.isZoneAllowed(machine.zone, spec, zones) &&
            machine.images.waitTime(spec.image, spec.imageGb, context.now).value == 0L
    }

    private companion object {
        /** Evictions for scale-in are sent only while fewer tasks than this are stopping. */
        const val MAX_STOPPING_REPLICAS = 16
    }
}
