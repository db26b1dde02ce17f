package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** Looks up the machines and tasks that the stored steps of drains name. */
class StepInspector(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val budgets: DisruptionBudgets,
    private val drains: DrainStore,
) {
    /** The current steps of all drains that have not ended. */
    val activeSteps: List<DrainStep>
        get() = drains.activeSteps

    /** The machines of [step] that are not deleted. */
    fun machinesOf(step: DrainStep): List<Machine> =
        step.machines.mapNotNull { cluster.machines[MachineId(it)] }

    /** The names of tasks that [step] evicts and that neither run elsewhere nor have ended. */
    fun unsettledTasks(step: DrainStep): List<String> =
        step.moved.filter { name ->
            val task = TaskId.parse(name) ?: return@filter false
            val job = cluster.jobs[task.job] ?: return@filter false
            if (job.hasEnded || job.isTaskDone(task.index)) return@filter false
            val placement = job.placements.get(task.index) ?: return@filter true
            placement.machine.value in step.machines || !budgets.isConfirmedRunning(placement)
        }

    /** The team of the task named [task]; null if the name is invalid or its job is unknown. */
    fun teamOf(task: String): String? = TaskId.parse(task)?.let { cluster.jobs[it.job]?.spec?.team }

    /** The tasks on [machine] that are not expected to end within the grace period. */
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
