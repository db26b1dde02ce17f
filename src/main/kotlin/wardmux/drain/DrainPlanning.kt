package wardmux.drain

import wardmux.core.BackgroundTask
import wardmux.model.Micros

/**
 * Background task that plans the steps of a drain with [SolverPlanner], which may search for at
 * most [timeLimit].
 */
class DrainPlanning(val problem: DrainProblem, private val timeLimit: Micros) :
    BackgroundTask<DrainPlan> {
    override fun run(): DrainPlan = SolverPlanner.plan(problem, timeLimit)
}
