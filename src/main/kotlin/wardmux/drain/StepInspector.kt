package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** Relates the recorded steps of drains to the machines and tasks of the cluster. */
class StepInspector(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val budgets: DisruptionBudgets,
    private val drains: DrainStore,
) {
    /** The steps of all drains that are under way. */
    val activeSteps: List<DrainStep>
        get() = drains.activeSteps

    /** Machines of the step that are not deleted. */
    fun machinesOf(step: DrainStep): List<Machine> =
        step.machines.mapNotNull { cluster.machines[MachineId(it)] }

    /** Names of tasks that the step evicted and that neither run elsewhere nor have ended. */
    fun unsettledTasks(step: DrainStep): List<String> =
        step.moved.filter { name ->
            val task = TaskId.parse(name) ?: return@filter false
            val job = cluster.jobs[task.job] ?: return@filter false
            if (job.hasEnded || job.isTaskDone(task.index)) return@filter false
            val placement = job.placements.get(task.index) ?: return@filter true
            placement.machine.value in step.machines || !budgets.isConfirmedRunning(placement)
        }

    /** The team of the task named [task], or null if its job is not known. */
    fun teamOf(task: String): String? = TaskId.parse(task)?.let { cluster.jobs[it.job]?.spec?.team }

    /** Tasks on the machine that will not end by themselves within the grace period. */
    fun tasksToEvict(machine: Machine, request: DrainRequest): List<Placement> =
        machine.placements.values.filter {
            !it.job.hasEnded && (it.isReplica || remainingRunTime(it) > request.graceS.seconds)
        }

    private fun remainingRunTime(placement: Placement): Micros {
        val expectedRunTime = cluster.estimates.runTime(placement.job.spec)
        val since = placement.runningSince ?: return expectedRunTime
        return expectedRunTime - (context.now - since)
    }
}
