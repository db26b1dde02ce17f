package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds

/**
 * Decides which tasks of a step are evicted next. The decision is a record that names them; they
 * are evicted once it is stored.
 */
class EvictionPlanner(
    private val context: CoreContext,
    private val inspector: StepInspector,
    private val budgets: DisruptionBudgets,
    private val feasibility: RelocationFeasibility,
    private val replacements: ReplacementCapacity,
    /** The number of evicted tasks that one stored record has space to name. */
    private val maxRelocatingTasks: Int,
) {
    private val selector = EvictionSelector(context, budgets)

    /** A record with the next evictions from [machines], or the reason why there are none. */
    fun decide(record: DrainRecord, step: DrainStep, machines: List<Machine>): DrainDecision {
        val selection = selector.select(candidates(record, step, machines))
        if (selection.selected.isEmpty()) return noEviction(selection, machines)
        val recorded = machines.flatMap { it.placements.values }.filter { it.name in step.moved }
        val unplaceable = feasibility.unplaceableTasks(recorded + selection.selected).toSet()
        val unsettled = inspector.unsettledTasks(step)
        val feasible = selection.selected.filter { it !in unplaceable }
        if (feasible.isEmpty()) return replacements.awaitCapacity(unplaceable.toList())
        val evicted = feasible.take((maxRelocatingTasks - unsettled.size).coerceAtLeast(0))
        if (evicted.isEmpty())
            return DrainDecision.Wait("${unsettled.size} evicted tasks to run again")
        val names = (unsettled + evicted.map { it.name }).distinct()
        val moved = record.moved + evicted.size
        return DrainDecision.Write(record.copy(step = step.copy(moved = names), moved = moved))
    }

    /**
     * Tasks that may be considered for eviction: replicas of services at once, other tasks once the
     * grace period is over.
     */
    private fun candidates(
        record: DrainRecord,
        step: DrainStep,
        machines: List<Machine>,
    ): List<Placement> {
        val emptyingFor = context.wallTime - Micros(step.emptyingSince)
        val isGraceOver = emptyingFor >= record.request.graceS.seconds
        return machines
            .filter { it.hasAdoptedToken }
            .flatMap { it.placements.values }
            .filter { it.isEvictable && (it.isReplica || isGraceOver) && it.name !in step.moved }
    }

    private fun noEviction(selection: EvictionSelection, machines: List<Machine>): DrainDecision {
        val refusal = selection.refusal
        val remainingTasks = machines.sumOf { it.placements.size }
        if (refusal == null)
            return DrainDecision.Wait("$remainingTasks tasks to end, save a checkpoint or move")
        if (refusal is BudgetRefusal.Permanent) {
            val hasReplicas = machines.any { m -> m.placements.values.any { it.isReplica } }
            return if (hasReplicas) DrainDecision.Pause(PauseReason.BUDGET, refusal.reason)
            else
                DrainDecision.Wait(
                    "$remainingTasks tasks to end without eviction: ${refusal.reason}"
                )
        }
        val team = selection.refusedTeam
        val evictedByDrains =
            inspector.activeSteps
                .flatMap { inspector.unsettledTasks(it) }
                .count { inspector.teamOf(it) == team }
        return if (budgets.disruptedTasks(team) > evictedByDrains)
            DrainDecision.Pause(PauseReason.LOSS, refusal.reason)
        else DrainDecision.Wait(refusal.reason)
    }
}
