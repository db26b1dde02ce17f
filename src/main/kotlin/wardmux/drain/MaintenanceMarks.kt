package wardmux.drain

import wardmux.model.Machine
import wardmux.model.Maintenance
import wardmux.scheduling.ClusterState

/** Cordons the machines of steps, as follows from the records alone. */
class MaintenanceMarks(
    private val cluster: ClusterState,
    private val inspector: StepInspector,
    private val urgentWork: UrgentWork,
) {
    private val marked = HashSet<Machine>()

    /** Sets what each machine may take by the drains that are [active]. */
    fun update(active: List<DrainRecord>) {
        cluster.hasDrains = active.isNotEmpty()
        if (active.isEmpty()) clear() else mark(active)
    }

    private fun clear() {
        for (machine in marked) machine.maintenance = Maintenance.NONE
        if (marked.isNotEmpty()) cluster.markChanged()
        marked.clear()
    }

    private fun mark(active: List<DrainRecord>) {
        val wanted = HashMap<Machine, Maintenance>()
        for (record in active) {
            val step = record.step ?: continue
            val machines = inspector.machinesOf(step)
            val maintenance = maintenanceFor(step, machines)
            for (machine in machines) wanted[machine] = maintenance
        }
        for (machine in marked - wanted.keys) set(machine, Maintenance.NONE)
        for ((machine, maintenance) in wanted) set(machine, maintenance)
        marked.clear()
        marked.addAll(wanted.keys)
    }

    private fun maintenanceFor(step: DrainStep, machines: List<Machine>): Maintenance =
        when {
            step.phase == StepPhase.PREPARING -> Maintenance.PREPARING
            urgentWork.isWaitingFor(machines) -> Maintenance.URGENT_ONLY
            else -> Maintenance.CORDONED
        }

    private fun set(machine: Machine, maintenance: Maintenance) {
        if (machine.maintenance == maintenance) return
        machine.maintenance = maintenance
        cluster.markChanged()
    }
}
