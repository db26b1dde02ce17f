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
 * Prepares the scale in of ordinary machines: surplus machines are cordoned, and returned once they
 * are empty. Tasks of arrays end by themselves. Replicas of services do not: they are evicted, each
 * only if another machine has room and the image, so that the restart is fast.
 */
class ScaleInPreparation(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val evictor: TaskEvictor,
) {
    private val log = logger<ScaleInPreparation>()

    /** Cordons machines for [surplus], or uncordons them if it is negative. */
    fun adjust(pool: MachinePool, own: List<Machine>, surplus: Double) {
        if (surplus < 0) uncordon(pool, own, -surplus) else cordon(pool, own, surplus)
    }

    private fun uncordon(pool: MachinePool, own: List<Machine>, missing: Double) {
        var left = missing
        for (machine in own.filter { it.isScalingIn }.sortedByDescending { it.load }) {
            if (left <= 0) return
            machine.isScalingIn = false
            left -= pool.weightOf(machine.type)
            cluster.markChanged()
            log.info("uncordoned {}: its capacity is needed", machine.id)
        }
    }

    private fun cordon(pool: MachinePool, own: List<Machine>, surplus: Double) {
        var left = surplus
        val candidates = own.filter { !it.spot && eligibility.isSchedulable(it) }
        val order =
            compareByDescending<Machine> { pool.relativeCost(it.type, it.spot) }.thenBy { it.load }
        for (machine in candidates.filter { !it.isEmpty }.sortedWith(order)) {
            val weight = pool.weightOf(machine.type)
            if (left < weight) continue
            machine.isScalingIn = true
            left -= weight
            log.info("scaling in {}: cordoned with {} tasks", machine.id, machine.placements.size)
        }
    }

    /** Evicts replicas from cordoned machines, a few at a time. */
    fun moveReplicas() {
        val cordoned = cluster.machines.values.filter { it.isScalingIn && !it.isDecommissioned }
        // Operators' drains evict within disruption budgets, which this must not use up.
        if (cordoned.isEmpty() || cluster.hasDrains) return
        val stopping =
            cluster.machines.values.sumOf { m -> m.placements.values.count { it.isStopping } }
        var left = MAX_STOPPING - stopping
        val targets = cluster.machines.values.filter { eligibility.isSchedulable(it) }
        val reserved = HashMap<Machine, Double>()
        for (machine in cordoned.sortedBy { it.placements.size }) {
            for (replica in machine.placements.values) {
                if (left <= 0) return
                if (!isEvictable(replica)) continue
                val target = targets.firstOrNull { fits(it, replica, reserved) } ?: continue
                reserved.merge(target, replica.job.spec.cpus, Double::plus)
                evictor.evict(replica, "its machine is emptied")
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
            // One replica of a service at a time.
            placement.job.placements.values.none { it.isStopping } &&
            placement.job.waiting == 0

    private fun fits(
        machine: Machine,
        replica: Placement,
        reserved: Map<Machine, Double>,
    ): Boolean {
        val spec = replica.job.spec
        if (!eligibility.satisfiesConstraints(spec, machine) || !machine.fits(spec)) return false
        if (
            machine.freeCpus - (reserved[machine] ?: 0.0) <
                spec.cpus - MachineType.RESOURCE_TOLERANCE
        )
            return false
        val zones = HashMap(eligibility.taskCountByZone(replica.job))
        zones.merge(replica.zone, -1, Int::plus)
        return eligibility.isZoneAllowed(machine.zone, spec, zones) &&
            machine.images.waitTime(spec.image, spec.imageGb, context.now).value == 0L
    }

    private companion object {
        /** The number of replicas that may be stopping at once. */
        const val MAX_STOPPING = 16
    }
}
