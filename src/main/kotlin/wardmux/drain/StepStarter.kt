package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Starts the next step of a drain, or finishes the drain if no machine is left. */
class StepStarter(
    private val context: CoreContext,
    private val inspector: StepInspector,
    private val selection: DrainSelection,
    private val admission: StepAdmission,
    private val plans: PlanScheduler,
    private val inventory: MachineInventory,
) {
    /** Machines that had no room for their tasks lately, and until when others go first. */
    private val backoffUntil = HashMap<String, Micros>()

    /** The next step of [record], which has none, as soon as it may start. */
    fun decide(record: DrainRecord): DrainDecision {
        val targets = selection.remaining(record)
        if (targets.isEmpty()) return finish(record)
        return admission.refusal(record, targets) ?: chooseStep(record, targets)
    }

    private fun finish(record: DrainRecord): DrainDecision {
        if (!inventory.isComplete) return DrainDecision.Wait("the list of machines")
        return DrainDecision.Write(record.copy(state = DrainState.DONE))
    }

    private fun chooseStep(record: DrainRecord, targets: List<Machine>): DrainDecision {
        val inSteps = inspector.activeSteps.flatMapTo(HashSet()) { it.machines }
        val available = targets.filter { it.id.value !in inSteps }
        if (available.isEmpty())
            return DrainDecision.Wait("another drain takes the same machines out")
        val machines =
            plans.nextStep(record.request, preferred(available))
                ?: return DrainDecision.Wait("a plan is worked out")
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

    /** Remembers machines that leave the step of [before] since their tasks have no room. */
    fun backOffUnplaceable(before: DrainRecord, after: DrainRecord) {
        val step = before.step?.takeIf { it.phase == StepPhase.PREPARING } ?: return
        for (machine in step.machines - after.step?.machines.orEmpty().toSet()) {
            backoffUntil[machine] = context.now + UNPLACEABLE_BACKOFF
        }
    }

    /** The machines that were not without room lately, or all if there are no such. */
    private fun preferred(machines: List<Machine>): List<Machine> {
        backoffUntil.values.removeIf { it <= context.now }
        return machines.filter { it.id.value !in backoffUntil }.ifEmpty { machines }
    }

    private companion object {
        val UNPLACEABLE_BACKOFF = 180.seconds
    }
}
