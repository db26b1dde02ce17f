package wardmux.cloud

import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.seconds
import wardmux.scheduling.MachinePool
import wardmux.scheduling.Planner

/** Returns idle machines that exceed the demand of their pool. */
class ScaleIn(
    private val context: CoreContext,
    private val planner: Planner,
    private val operators: OperatorSettings,
    private val decommissioning: MachineDecommissioning,
) {
    /**
     * Returns the machines of [poolMachines] that scale-in has emptied, and further idle ones up to
     * [surplus], the most expensive first. The unit of [surplus] is a machine of the pool's base
     * type; [spot] selects spot or ordinary machines.
     */
    fun returnIdle(pool: MachinePool, poolMachines: List<Machine>, surplus: Double, spot: Boolean) {
        val candidates = poolMachines.filter { it.spot == spot && it.isEmpty }
        returnEmptied(pool, candidates.filter { it.isScalingIn })
        returnSurplus(pool, candidates, surplus + 1 - MIN_SURPLUS_MACHINES)
    }

    /** Returns machines that were cordoned for scale-in and are empty by now. */
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
            // A gang waits for more machines that it may use, so this one would be rented again at
            // once.
            if (gangs.any { planner.eligibility.satisfiesConstraints(it.spec, machine) }) continue
            left -= pool.weightOf(machine.type)
            decommissioning.decommission(machine, "idle")
        }
    }

    /**
     * True if [machine] has been idle for longer than [OperatorSettings.idleKeepBoots] boot times
     * of its type, divided by its cost relative to the cheapest type of the pool. Keeping it for
     * that time costs about as much as renting and booting another one.
     */
    private fun hasIdledLongEnough(pool: MachinePool, machine: Machine): Boolean {
        val relativeCost = pool.relativeCost(machine.type, machine.spot)
        val idleTime = (operators.idleKeepBoots * machine.type.bootS / relativeCost).seconds
        return context.now - machine.idleSince > idleTime
    }

    private companion object {
        /** A surplus of at least this share of a machine counts as one machine. */
        const val MIN_SURPLUS_MACHINES = 0.9
    }
}
