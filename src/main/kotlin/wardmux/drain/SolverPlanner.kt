package wardmux.drain

import org.chocosolver.solver.Model
import org.chocosolver.solver.search.strategy.Search as ChocoSearch
import org.chocosolver.solver.variables.IntVar
import wardmux.model.Micros

/**
 * Finds a plan with the fewest steps by constraint programming (Choco): a variable for each machine
 * is the number of its step, and each limit is a bin packing over the steps. The greedy plan is the
 * upper bound; the result is the best plan found within the limits on time and search nodes.
 */
object SolverPlanner {
    /**
     * The best plan found within [limit] and [nodes] search nodes; never worse than the greedy one.
     */
    fun plan(problem: DrainProblem, limit: Micros, nodes: Long = MAX_NODES): DrainPlan {
        val greedy = GreedyPlanner.plan(problem)
        val free = problem.machines.filterNot { problem.goesAlone(it) }
        val alone = problem.machines.filter { problem.goesAlone(it) }.map { listOf(it) }
        val maxSteps = greedy.steps.size - alone.size
        if (free.size > MAX_MACHINES || maxSteps <= 1) return greedy
        val solved = Search(problem, free, maxSteps).run(limit, nodes)
        val plan = DrainPlan(GreedyPlanner.inOrder(problem, solved.steps + alone), solved.isOptimal)
        val isSound = solved.steps.isNotEmpty() && plan.steps.all { problem.allows(it) }
        return if (isSound && plan.measure < greedy.measure) plan
        else DrainPlan(greedy.steps, solved.isOptimal)
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

        fun run(limit: Micros, nodes: Long): DrainPlan {
            limitBins(machines.map { 1 }, problem.stepSize)
            for (team in machines.flatMap { it.tasksByTeam.keys }.distinct()) {
                val counts = machines.map { it.tasksByTeam[team] ?: 0 }
                limitBins(counts, DrainProblem.limit(problem.teamLimits, team))
            }
            for (service in machines.flatMap { it.replicasByService.keys }.distinct()) {
                val counts = machines.map { it.replicasByService[service] ?: 0 }
                limitBins(counts, DrainProblem.limit(problem.serviceLimits, service))
            }
            if (problem.order == StepOrder.BY_ZONE) separateZones()
            model.max(lastStep, stepOf).post()
            return search(limit, nodes)
        }

        /** The sum of [counts] in each step is at most [limit]. */
        private fun limitBins(counts: List<Int>, limit: Int) {
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

        private fun search(limit: Micros, nodes: Long): DrainPlan {
            val solver = model.solver
            solver.setSearch(ChocoSearch.domOverWDegSearch(*stepOf))
            solver.limitTime(limit.value / MICROS_PER_MILLI)
            solver.limitNode(nodes)
            val best = solver.findOptimalSolution(lastStep, false)
            if (best == null) return DrainPlan(emptyList(), !solver.isStopCriterionMet)
            val steps = machines.indices.groupBy { best.getIntVal(stepOf[it]) }.toSortedMap()
            val found = steps.values.map { step -> step.map { machines[it] } }
            return DrainPlan(found, !solver.isStopCriterionMet)
        }
    }

    /** Beyond this the model takes too long to build. */
    private const val MAX_MACHINES = 300
    private const val MAX_NODES = 200_000L
    private const val MICROS_PER_MILLI = 1_000L
}
