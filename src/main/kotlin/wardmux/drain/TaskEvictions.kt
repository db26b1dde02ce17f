package wardmux.drain

import wardmux.model.Placement
import wardmux.scheduling.TaskEvictor

/** Evicts tasks that are recorded for it. */
class TaskEvictions(
    private val inspector: StepInspector,
    private val budgets: DisruptionBudgets,
    private val evictor: TaskEvictor,
) {
    /** Evicts what the step's record names, as far as the budgets allow it at this moment. */
    fun evictRecorded(step: DrainStep) {
        for (machine in inspector.machinesOf(step)) {
            if (machine.isDecommissioned || !machine.hasAdoptedToken) continue
            for (placement in machine.placements.values.toList()) {
                if (placement.name in step.moved && placement.isEvictable) evict(placement)
            }
        }
    }

    private fun evict(placement: Placement) {
        val tasks = placement.evictedTogether
        // What counts as disrupted already takes nothing more of the budget.
        val undisrupted = tasks.count { !budgets.isDisrupted(it) }
        if (undisrupted > 0 && budgets.refusal(placement.job, undisrupted) != null) return
        // Counted first: once the evictor has marked them they no longer count as up.
        for (task in tasks) budgets.recordEviction(task)
        evictor.evict(placement, EVICTION_REASON)
    }

    companion object {
        /** The reason of evictions and decommissions, for the log. */
        const val EVICTION_REASON = "its machine is drained"
    }
}
