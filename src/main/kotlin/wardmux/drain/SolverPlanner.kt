package wardmux.drain

import org.chocosolver.solver.Model
import org.chocosolver.solver.search.strategy.Search as ChocoSearch
import org.chocosolver.solver.variables.IntVar
import wardmux.model.Micros

/**
 * Finds a plan with the fewest steps by constraint programming (Choco). The model has a variable
 * for each machine, which is the number of the machine's step, and a bin-packing constraint over
 * the steps for each limit. The greedy plan is the upper bound on the number of steps. The result
 * is the best plan found within the limits on time and search nodes.
 */
object SolverPlanner {
    /**
     * The best plan found within [timeLimit] and [maxNodes] search nodes. It never costs more than
     * the greedy plan.
     */
    fun plan(
        problem: DrainProblem,
        timeLimit: Micros,
        maxNodes: Long = MAX_SEARCH_NODES,
    ): DrainPlan {
        val greedy = GreedyPlanner.plan(problem)
        val groupable = problem.machines.filterNot { problem.needsOwnStep(it) }
        val ownSteps = problem.machines.filter { problem.needsOwnStep(it) }.map { listOf(it) }
        val maxSteps = greedy.steps.size - ownSteps.size
        if (groupable.size > MAX_SOLVER_MACHINES || maxSteps <= 1) return greedy
        val found = Search(problem, groupable, maxSteps).run(timeLimit, maxNodes)
        val plan =
            DrainPlan(GreedyPlanner.orderSteps(problem, found.steps + ownSteps), found.isOptimal)
        val isSound = found.steps.isNotEmpty() && plan.steps.all { problem.allows(it) }
        return if (isSound && plan.cost < greedy.cost) plan
        else DrainPlan(greedy.steps, found.isOptimal)
    }

    private class Search(
        private val problem: DrainProblem,
        private val machines: List<MachineLoad>,
        private val maxSteps: Int,
    ) {
        private val model = Model("drain")
        private val stepOf: Array<IntVar> =
            Array(machines.size) { model.intVar("step$it", 0, maxSteps - 1) }
        private val lastStep = model.intVar("last", 0, maxSteps - 1)

        fun run(timeLimit: Micros, maxNodes: Long): DrainPlan {
            limitPerStep(machines.map { 1 }, problem.stepSize)
            for (team in machines.flatMap { it.tasksByTeam.keys }.distinct()) {
                val counts = machines.map { it.tasksByTeam[team] ?: 0 }
                limitPerStep(counts, DrainProblem.limitFor(problem.teamLimits, team))
            }
            for (service in machines.flatMap { it.replicasByService.keys }.distinct()) {
                val counts = machines.map { it.replicasByService[service] ?: 0 }
                limitPerStep(counts, DrainProblem.limitFor(problem.serviceLimits, service))
            }
            if (problem.order == StepOrder.BY_ZONE) separateZones()
            model.max(lastStep, stepOf).post()
            return search(timeLimit, maxNodes)
        }

        /** Requires that the sum of [counts] in each step is at most [limit]. */
        private fun limitPerStep(counts: List<Int>, limit: Int) {
            val max = minOf(limit, counts.sum())
            if (max == counts.sum()) return
            val loads = model.intVarArray(maxSteps, 0, max)
            model.binPacking(stepOf, counts.toIntArray(), loads, 0).post()
        }

        private fun separateZones() {
            for (i in machines.indices) for (j in 0 until i) {
                if (machines[i].zone != machines[j].zone)
                    model.arithm(stepOf[i], "!=", stepOf[j]).post()
            }
        }

        private fun search(timeLimit: Micros, maxNodes: Long): DrainPlan {
            val solver = model.solver
            solver.setSearch(ChocoSearch.domOverWDegSearch(*stepOf))
            solver.limitTime(timeLimit.value / MICROS_PER_MILLI)
            solver.limitNode(maxNodes)
            val best = solver.findOptimalSolution(lastStep, false)
            if (best == null) return DrainPlan(emptyList(), !solver.isStopCriterionMet)
            val steps = machines.indices.groupBy { best.getIntVal(stepOf[it]) }.toSortedMap()
            val found = steps.values.map { step -> step.map { machines[it] } }
            return DrainPlan(found, !solver.isStopCriterionMet)
        }
    }

    /** With more machines than this, building the model takes too long. */
    private const val MAX_SOLVER_MACHINES = 300
    private const val MAX_SEARCH_NODES = 200_000L
    private const val MICROS_PER_MILLI = 1_000L
}
