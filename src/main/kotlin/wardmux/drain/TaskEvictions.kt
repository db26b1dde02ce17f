package wardmux.drain

import wardmux.model.Placement
import wardmux.scheduling.TaskEvictor

/** Evicts the tasks that the stored record of a step names. */
class TaskEvictions(
    private val inspector: StepInspector,
    private val budgets: DisruptionBudgets,
    private val evictor: TaskEvictor,
) {
    /** Evicts the tasks that [step] names, as far as the budgets allow it now. */
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
        // Tasks that already count as disrupted use no more of the budget.
        val undisrupted = tasks.count { !budgets.isDisrupted(it) }
        if (undisrupted > 0 && budgets.refusal(placement.job, undisrupted) != null) return
        // The evictions are counted before they are sent. Once the evictor has marked the tasks as
        // stopping, they would no longer count as running, and the counts would not change.
        for (task in tasks) budgets.recordEviction(task)
        evictor.evict(placement, EVICTION_REASON)
    }

    companion object {
        /** The reason that is given for evictions and decommissions by a drain. */
        const val EVICTION_REASON = "its machine is drained"
    }
}
