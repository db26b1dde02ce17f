package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Starts the next step of a drain, or finishes the drain if no selected machine is left. */
class StepStarter(
    private val context: CoreContext,
    private val inspector: StepInspector,
    private val selection: DrainSelection,
    private val admission: StepAdmission,
    private val plans: PlanScheduler,
    private val inventory: MachineInventory,
) {
    /**
     * Ids of machines whose tasks recently had no capacity elsewhere, with the time until which
     * other machines are preferred.
     */
    private val backoffUntil = HashMap<String, Micros>()

    /** What to do next for [record], which has no current step. */
    fun decide(record: DrainRecord): DrainDecision {
        val targets = selection.remaining(record)
        if (targets.isEmpty()) return finish(record)
        return admission.refusal(record, targets) ?: chooseStep(record, targets)
    }

    private fun finish(record: DrainRecord): DrainDecision {
        if (!inventory.isComplete)
            return DrainDecision.Wait("a complete list of machines from the cloud")
        return DrainDecision.Write(record.copy(state = DrainState.DONE))
    }

    private fun chooseStep(record: DrainRecord, targets: List<Machine>): DrainDecision {
        val inSteps = inspector.activeSteps.flatMapTo(HashSet()) { it.machines }
        val available = targets.filter { it.id.value !in inSteps }
        if (available.isEmpty()) return DrainDecision.Wait("another drain of the same machines")
        val machines =
            plans.nextStep(record.request, preferred(available))
                ?: return DrainDecision.Wait("the plan of the next step to be computed")
        return admission.stepRefusal(record, machines) ?: start(record, machines)
    }

    private fun start(record: DrainRecord, machines: List<Machine>): DrainDecision {
        val step =
            DrainStep(
                record.stepsDone + 1,
                StepPhase.PREPARING,
                machines.map { it.id.value },
                beganAt = context.wallTime.value,
            )
        return DrainDecision.Write(record.copy(step = step))
    }

    /**
     * Starts a backoff for the machines that are in the step of [before] but not in that of
     * [after]: they were removed in the preparation because there is no capacity for their tasks.
     */
    fun backOffUnplaceable(before: DrainRecord, after: DrainRecord) {
        val step = before.step?.takeIf { it.phase == StepPhase.PREPARING } ?: return
        for (machine in step.machines - after.step?.machines.orEmpty().toSet()) {
            backoffUntil[machine] = context.now + UNPLACEABLE_BACKOFF
        }
    }

    /** The [machines] that have no backoff, or all of them if each has one. */
    private fun preferred(machines: List<Machine>): List<Machine> {
        backoffUntil.values.removeIf { it <= context.now }
        return machines.filter { it.id.value !in backoffUntil }.ifEmpty { machines }
    }

    private companion object {
        val UNPLACEABLE_BACKOFF = 180.seconds
    }
}
