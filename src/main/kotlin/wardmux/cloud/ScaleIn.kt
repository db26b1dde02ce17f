package wardmux.cloud

import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.seconds
import wardmux.scheduling.MachinePool
import wardmux.scheduling.Planner

/** Returns idle machines that are more than are wanted. */
class ScaleIn(
    private val context: CoreContext,
    private val planner: Planner,
    private val operators: OperatorSettings,
    private val decommissioning: MachineDecommissioning,
) {
    /**
     * Returns idle machines of [own] up to [surplus], in machines of the pool's base type, the most
     * expensive first.
     */
    fun returnIdle(pool: MachinePool, own: List<Machine>, surplus: Double, spot: Boolean) {
        val emptied = own.filter { it.isScalingIn && it.isEmpty && it.spot == spot }
        for (machine in emptied) {
            if (isIdleForLong(pool, machine)) decommissioning.decommission(machine, "emptied")
        }
        var left = surplus + 1 - MIN_SURPLUS
        if (left < 1) return
        val gangs = planner.jobsShortOfRoom().filter { it.spec.isGang && !it.isFailing }
        val idle = own.filter { it.isUp && it.isEmpty && !it.isDecommissioned && it.spot == spot }
        for (machine in idle.sortedByDescending { pool.relativeCost(it.type, it.spot) }) {
            if (left < pool.weightOf(machine.type) || !isIdleForLong(pool, machine)) continue
            // A gang waits for more machines like this: it would be rented again at once.
            if (gangs.any { planner.eligibility.satisfiesConstraints(it.spec, machine) }) continue
            left -= pool.weightOf(machine.type)
            decommissioning.decommission(machine, "idle")
        }
    }

    /** Idle for as long as another boot costs; less for a machine that costs more. */
    private fun isIdleForLong(pool: MachinePool, machine: Machine): Boolean {
        val dearness = pool.relativeCost(machine.type, machine.spot)
        val keep = (operators.idleKeepBoots * machine.type.bootS / dearness).seconds
        return context.now - machine.idleSince > keep
    }

    private companion object {
        /** A surplus of this part of a machine counts as one. */
        const val MIN_SURPLUS = 0.9
    }
}
