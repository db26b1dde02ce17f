package wardmux.drain

import wardmux.model.Machine

/** Computes what a drain would do, without starting it. */
class DrainDryRun(
    private val drains: DrainStore,
    private val selection: DrainSelection,
    private val inspector: StepInspector,
    private val plans: PlanScheduler,
    private val admission: StepAdmission,
    private val statuses: DrainStatusReader,
) {
    /**
     * The greedy plan's steps for draining [targets], the budgets of the affected teams, and the
     * first obstacle that would delay the drain.
     */
    fun check(request: DrainRequest, targets: List<Machine>): DrainCheck {
        val plan = GreedyPlanner.plan(plans.problem(request, targets))
        val record = drains.newRecord(request, selection.newest)
        val evicted = targets.flatMap { inspector.tasksToEvict(it, request) }
        val teams = evicted.mapTo(sortedSetOf()) { it.job.spec.team }
        return DrainCheck(
            targets.size,
            plan.steps.map { step -> step.map { it.machine.value } },
            evicted.size,
            teams.map { statuses.budgetOf(it) },
            admission.firstObstacle(record, targets),
        )
    }
}
