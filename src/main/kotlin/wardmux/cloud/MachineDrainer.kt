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
 * Empties ordinary machines that are more than is wanted: they get no new tasks, and can be
 * returned once the last one has ended. Arrays end by themselves. Replicas of services never do:
 * they are moved, each only to a machine that has room and the image, so that it is down for no
 * longer than a stop and a start take.
 */
class MachineDrainer(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val stopper: TaskEvictor,
) {
    private val log = logger<MachineDrainer>()

    /**
     * Drains machines for [surplus], or lets drained ones take tasks again where it is negative.
     */
    fun adjust(pool: MachinePool, own: List<Machine>, surplus: Double) {
        if (surplus < 0) resume(pool, own, -surplus) else drain(pool, own, surplus)
    }

    private fun resume(pool: MachinePool, own: List<Machine>, missing: Double) {
        var left = missing
        for (machine in own.filter { it.isScalingIn }.sortedByDescending { it.load }) {
            if (left <= 0) return
            machine.isScalingIn = false
            left -= pool.weightOf(machine.type)
            cluster.markChanged()
            log.info("{} takes tasks again", machine.id)
        }
    }

    private fun drain(pool: MachinePool, own: List<Machine>, surplus: Double) {
        var left = surplus
        val candidates = own.filter { !it.spot && eligibility.usable(it) }
        val order =
            compareByDescending<Machine> { pool.relativeCost(it.type, it.spot) }.thenBy { it.load }
        for (machine in candidates.filter { !it.isEmpty }.sortedWith(order)) {
            val weight = pool.weightOf(machine.type)
            if (left < weight) continue
            machine.isScalingIn = true
            left -= weight
            log.info("{} is to be emptied: {} tasks there", machine.id, machine.placements.size)
        }
    }

    /** Moves replicas off machines that are being emptied; a few at a time. */
    fun moveReplicas() {
        val isScalingIn = cluster.machines.values.filter { it.isScalingIn && !it.isDecommissioned }
        // Operators' drains move tasks within budgets, which this must not use up.
        if (isScalingIn.isEmpty() || cluster.hasDrains) return
        val moving =
            cluster.machines.values.sumOf { m -> m.placements.values.count { it.isStopping } }
        var left = MOST_MOVING - moving
        val targets = cluster.machines.values.filter { eligibility.usable(it) }
        val promised = HashMap<Machine, Double>()
        for (machine in isScalingIn.sortedBy { it.placements.size }) {
            for (replica in machine.placements.values) {
                if (left <= 0) return
                if (!isMovable(replica)) continue
                val target = targets.firstOrNull { takes(it, replica, promised) } ?: continue
                promised.merge(target, replica.job.spec.cpus, Double::plus)
                stopper.evict(replica, "its machine is emptied")
                left--
            }
        }
    }

    private fun isMovable(placement: Placement) =
        placement.job.spec.kind == JobKind.SERVICE &&
            placement.status == TaskStatus.RUNNING &&
            placement.isCommitted &&
            !placement.isStopping &&
            !placement.job.hasEnded &&
            // One of a service at a time: the others go on.
            placement.job.placements.values.none { it.isStopping } &&
            placement.job.waiting == 0

    private fun takes(
        machine: Machine,
        replica: Placement,
        promised: Map<Machine, Double>,
    ): Boolean {
        val spec = replica.job.spec
        if (!eligibility.allowed(spec, machine) || !machine.fits(spec)) return false
        if (machine.freeCpus - (promised[machine] ?: 0.0) < spec.cpus - MachineType.EPSILON)
            return false
        val zones = HashMap(eligibility.zonesOf(replica.job))
        zones.merge(replica.zone, -1, Int::plus)
        return eligibility.mayGoTo(machine.zone, spec, zones) &&
            machine.images.waitTime(spec.image, spec.imageGb, context.now).value == 0L
    }

    private companion object {
        /** Replicas that are stopped to be moved, at once. */
        const val MOST_MOVING = 16
    }
}
