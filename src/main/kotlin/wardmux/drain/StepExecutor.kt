package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.seconds

/**
 * Carries out one step: prepares capacity, empties and returns the machines within the budgets, and
 * waits until the evicted tasks run again. It is stateless: its decisions depend only on the stored
 * record and the observed cluster, so the next leader can continue at any point.
 */
class StepExecutor(
    private val context: CoreContext,
    private val inspector: StepInspector,
    private val preparation: StepPreparation,
    private val urgentWork: UrgentWork,
    private val evictions: TaskEvictions,
    private val evictionPlanner: EvictionPlanner,
    private val inventory: MachineInventory,
) {
    /** What to do next for [step], the current step of [record]. */
    fun decide(record: DrainRecord, step: DrainStep): DrainDecision =
        when (step.phase) {
            StepPhase.PREPARING -> preparation.decide(record, step)
            StepPhase.EMPTYING -> emptyMachines(record, step)
            StepPhase.SETTLING -> awaitRestarts(record, step)
        }

    private fun emptyMachines(record: DrainRecord, step: DrainStep): DrainDecision {
        val machines = inspector.machinesOf(step)
        for (machine in machines) {
            if (isEmptied(machine)) inventory.decommission(machine, TaskEvictions.EVICTION_REASON)
        }
        if (machines.isEmpty()) return startSettling(record, step)
        val activeMachines = machines.filter { !it.isDecommissioned }
        if (activeMachines.isEmpty())
            return DrainDecision.Wait("${machines.size} returned machines to be deleted")
        urgentWork.reasonToYield(activeMachines)?.let {
            return DrainDecision.Wait(it)
        }
        evictions.evictRecorded(step)
        return evictionPlanner.decide(record, step, activeMachines)
    }

    /**
     * True if no task is placed or reported on the machine and no start is in flight. The machine
     * must also have been idle for [TASK_END_RECORDING_TIME], because the ends of its last tasks
     * are recorded within that time.
     */
    private fun isEmptied(machine: Machine) =
        machine.isEmpty &&
            machine.directStarts.unconfirmed.isEmpty() &&
            !machine.isCommandInFlight &&
            context.now - machine.idleSince > TASK_END_RECORDING_TIME

    private fun startSettling(record: DrainRecord, step: DrainStep): DrainDecision {
        if (!inventory.isComplete)
            return DrainDecision.Wait("a complete list of machines from the cloud")
        return DrainDecision.Write(record.copy(step = step.copy(phase = StepPhase.SETTLING)))
    }

    private fun awaitRestarts(record: DrainRecord, step: DrainStep): DrainDecision {
        val unsettled = inspector.unsettledTasks(step)
        if (unsettled.isNotEmpty())
            return DrainDecision.Wait(
                "${unsettled.size} evicted tasks to run again, first ${unsettled.first()}"
            )
        val now = context.wallTime.value
        return DrainDecision.Write(
            record.copy(
                step = null,
                stepsDone = record.stepsDone + 1,
                returned = record.returned + step.machines.size,
                stepEndedAt = now,
                lastStep = now - step.beganAt,
            )
        )
    }

    private companion object {
        val TASK_END_RECORDING_TIME = 5.seconds
    }
}
