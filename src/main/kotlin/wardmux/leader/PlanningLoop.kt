package wardmux.leader

import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.PlacementStore
import wardmux.scheduling.Planner

/** Plans placements whenever the cluster's state has changed, and writes them. */
class PlanningLoop(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val planner: Planner,
    private val placementStore: PlacementStore,
    private val status: TermStatus,
) {
    /** The cluster's count of changes when the last plan was made. */
    private var plannedChangeCount = -1L

    /** When the next plan is made even if nothing has changed. */
    private var nextUnchangedPlanAt = Micros.LONG_AGO

    /** When a heartbeat may trigger the next plan. */
    private var nextPlanAt = Micros.LONG_AGO

    /** Plans after a heartbeat: what has ended makes room, but not each heartbeat needs a plan. */
    fun planIfChanged() {
        if (plannedChangeCount != cluster.changeCount && context.now >= nextPlanAt) planAndWrite()
    }

    /** Plans and writes, unless the last write is still under way. */
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
