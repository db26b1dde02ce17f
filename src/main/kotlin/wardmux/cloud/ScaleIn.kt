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
     * Returns idle machines of [poolMachines] up to [surplus], in machines of the pool's base type,
     * the most expensive first.
     */
    fun returnIdle(pool: MachinePool, poolMachines: List<Machine>, surplus: Double, spot: Boolean) {
        val candidates = poolMachines.filter { it.spot == spot && it.isEmpty }
        returnEmptied(pool, candidates.filter { it.isScalingIn })
        returnSurplus(pool, candidates, surplus + 1 - MIN_SURPLUS_MACHINES)
    }

    private fun returnEmptied(pool: MachinePool, emptied: List<Machine>) {
        for (machine in emptied) {
            if (hasIdledLongEnough(pool, machine)) decommissioning.decommission(machine, "emptied")
        }
    }

    private fun returnSurplus(pool: MachinePool, candidates: List<Machine>, surplus: Double) {
        if (surplus < 1) return
        var left = surplus
        val gangs = planner.jobsShortOfRoom().filter { it.spec.isGang && !it.isFailing }
        val idle = candidates.filter { it.isUp && !it.isDecommissioned }
        for (machine in idle.sortedByDescending { pool.relativeCost(it.type, it.spot) }) {
            if (left < pool.weightOf(machine.type) || !hasIdledLongEnough(pool, machine)) continue
            // A gang waits for more machines like this: it would be rented again at once.
            if (gangs.any { planner.eligibility.satisfiesConstraints(it.spec, machine) }) continue
            left -= pool.weightOf(machine.type)
            decommissioning.decommission(machine, "idle")
        }
    }

    /** Idle for as long as another boot costs; less for a machine that costs more. */
    private fun hasIdledLongEnough(pool: MachinePool, machine: Machine): Boolean {
        val relativeCost = pool.relativeCost(machine.type, machine.spot)
        val idleTime = (operators.idleKeepBoots * machine.type.bootS / relativeCost).seconds
        return context.now - machine.idleSince > idleTime
    }

    private companion object {
        /** A surplus of this part of a machine counts as one. */
        const val MIN_SURPLUS_MACHINES = 0.9
    }
}
