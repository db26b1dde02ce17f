package wardmux.drain

import wardmux.core.BackgroundTask
import wardmux.model.Micros

/** Plans the steps of a drain by constraint programming, for at most [timeLimit]. */
class DrainPlanning(val problem: DrainProblem, private val timeLimit: Micros) :
    BackgroundTask<DrainPlan> {
    override fun run(): DrainPlan = SolverPlanner.plan(problem, timeLimit)
}
