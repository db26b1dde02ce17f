package wardmux.drain

import wardmux.model.Machine
import wardmux.model.Maintenance
import wardmux.scheduling.ClusterState

/**
 * Sets the maintenance mode of the machines in the current steps, for example to cordon them. The
 * mode is derived from the drain records and from waiting urgent work.
 */
class MaintenanceUpdater(
    private val cluster: ClusterState,
    private val inspector: StepInspector,
    private val urgentWork: UrgentWork,
) {
    private val machinesInSteps = HashSet<Machine>()

    /** Sets the maintenance mode of each machine according to the drains that have not ended. */
    fun update(active: List<DrainRecord>) {
        cluster.hasDrains = active.isNotEmpty()
        if (active.isEmpty()) clear() else setForSteps(active)
    }

    private fun clear() {
        for (machine in machinesInSteps) machine.maintenance = Maintenance.NONE
        if (machinesInSteps.isNotEmpty()) cluster.markChanged()
        machinesInSteps.clear()
    }

    private fun setForSteps(active: List<DrainRecord>) {
        val maintenanceByMachine = HashMap<Machine, Maintenance>()
        for (record in active) {
            val step = record.step ?: continue
            val machines = inspector.machinesOf(step)
            val maintenance = maintenanceFor(step, machines)
            for (machine in machines) maintenanceByMachine[machine] = maintenance
        }
        for (machine in machinesInSteps - maintenanceByMachine.keys) {
            setMaintenance(machine, Maintenance.NONE)
        }
        for ((machine, maintenance) in maintenanceByMachine) setMaintenance(machine, maintenance)
        machinesInSteps.clear()
        machinesInSteps.addAll(maintenanceByMachine.keys)
    }

    private fun maintenanceFor(step: DrainStep, machines: List<Machine>): Maintenance =
        when {
            step.phase == StepPhase.PREPARING -> Maintenance.PREPARING
            urgentWork.isWaitingFor(machines) -> Maintenance.URGENT_ONLY
            else -> Maintenance.CORDONED
        }

    private fun setMaintenance(machine: Machine, maintenance: Maintenance) {
        if (machine.maintenance == maintenance) return
        machine.maintenance = maintenance
        cluster.markChanged()
    }
}
