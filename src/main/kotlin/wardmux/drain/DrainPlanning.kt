package wardmux.drain

import wardmux.core.BackgroundTask
import wardmux.model.Micros

/** Plans the steps of a drain by constraint programming, for at most [limit]. */
class DrainPlanning(val problem: DrainProblem, private val limit: Micros) :
    BackgroundTask<DrainPlan> {
    override fun run(): DrainPlan = SolverPlanner.plan(problem, limit)
}
