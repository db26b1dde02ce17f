package wardmux.leader

import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.PlacementStore
import wardmux.scheduling.Planner

/**
 * Plans placements when the cluster's state has changed or a period has passed, and writes them.
 */
class PlanningLoop(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val planner: Planner,
    private val placementStore: PlacementStore,
    private val status: TermStatus,
) {
    /** The value of [ClusterState.changeCount] when the last plan was made. */
    private var plannedChangeCount = -1L

    /** When to make the next plan even if the state has not changed. */
    private var nextUnchangedPlanAt = Micros.LONG_AGO

    /** The earliest time at which a heartbeat may trigger the next plan. */
    private var nextPlanAt = Micros.LONG_AGO

    /**
     * Plans after a heartbeat if the state has changed, because ended tasks free capacity. Does not
     * plan more often than every [MIN_PLAN_PERIOD], since not every heartbeat needs a plan.
     */
    fun planIfChanged() {
        if (plannedChangeCount != cluster.changeCount && context.now >= nextPlanAt) planAndWrite()
    }

    /** Plans and writes, unless the term may not decide or the last write is still pending. */
    fun planAndWrite() {
        nextPlanAt = context.now + MIN_PLAN_PERIOD
        if (!status.mayDecide || !placementStore.isReady) return
        if (plannedChangeCount != cluster.changeCount || context.now >= nextUnchangedPlanAt) {
            plannedChangeCount = cluster.changeCount
            nextUnchangedPlanAt = context.now + MAX_PLAN_PERIOD
            planner.plan(placementStore.pageBudget())
        }
        placementStore.flush()
    }

    private companion object {
        val MAX_PLAN_PERIOD = 500.milliseconds
        val MIN_PLAN_PERIOD = 50.milliseconds
    }
}
