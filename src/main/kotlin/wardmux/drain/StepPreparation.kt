package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** The first phase of a step, which provides capacity for the tasks that the step evicts. */
class StepPreparation(
    private val context: CoreContext,
    private val inspector: StepInspector,
    private val urgentWork: UrgentWork,
    private val feasibility: RelocationFeasibility,
    private val replacements: ReplacementCapacity,
) {
    /**
     * Starts emptying once there is capacity for every task. After a timeout the step continues
     * with those of its machines for whose tasks there is capacity.
     */
    fun decide(record: DrainRecord, step: DrainStep): DrainDecision {
        val machines = inspector.machinesOf(step)
        urgentWork.reasonToYield(machines)?.let {
            return DrainDecision.Wait(it)
        }
        val evicted = machines.flatMap { inspector.tasksToEvict(it, record.request) }
        val unplaceable = feasibility.unplaceableTasks(evicted)
        if (unplaceable.isEmpty()) return startEmptying(record, step)
        val waited = context.wallTime - Micros(step.beganAt)
        if (waited >= capacityTimeout(machines)) return reduceStep(record, step, machines)
        return replacements.awaitCapacity(unplaceable)
    }

    /**
     * The time after which a replacement is expected to be up, if the cloud has one and it boots in
     * the usual time.
     */
    private fun capacityTimeout(machines: List<Machine>): Micros =
        (machines.maxOfOrNull { it.type.bootS } ?: 0.0).seconds * CAPACITY_TIMEOUT_BOOTS +
            CAPACITY_TIMEOUT_BASE

    /**
     * Reduces the step to the machines for whose tasks there is capacity. If there is no such
     * machine, the step is removed and the drain chooses another one.
     */
    private fun reduceStep(
        record: DrainRecord,
        step: DrainStep,
        machines: List<Machine>,
    ): DrainDecision {
        val kept = ArrayList<Machine>()
        for (machine in machines.sortedBy { it.load }) {
            if (hasCapacity(kept + machine, machines, record.request)) kept.add(machine)
        }
        if (kept.isEmpty()) return DrainDecision.Write(record.copy(step = null))
        return startEmptying(record, step.copy(machines = kept.map { it.id.value }))
    }

    private fun hasCapacity(
        leaving: List<Machine>,
        all: List<Machine>,
        request: DrainRequest,
    ): Boolean {
        val evicted = leaving.flatMap { inspector.tasksToEvict(it, request) }
        return feasibility
            .unplaceableTasks(evicted, leaving.toSet(), staying = all.toSet())
            .isEmpty()
    }

    private fun startEmptying(record: DrainRecord, step: DrainStep): DrainDecision {
        val next = step.copy(phase = StepPhase.EMPTYING, emptyingSince = context.wallTime.value)
        return DrainDecision.Write(record.copy(step = next))
    }

    private companion object {
        /** The timeout includes this many times the longest boot time of the drained machines. */
        const val CAPACITY_TIMEOUT_BOOTS = 3.0
        /** The part of the timeout that does not depend on boot times. */
        val CAPACITY_TIMEOUT_BASE = 30.seconds
    }
}
