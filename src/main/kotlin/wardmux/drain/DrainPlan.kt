package wardmux.drain

import wardmux.model.MachineId

/** The tasks to be evicted from one machine. */
class MachineLoad(
    val machine: MachineId,
    val zone: String,
    /** CPUs of the tasks that are evicted. */
    val cpus: Double,
    /** Number of tasks that are evicted, by team. */
    val tasksByTeam: Map<String, Int>,
    /** Number of replicas that are evicted, by service. */
    val replicasByService: Map<String, Int>,
) {
    /** Number of all tasks that are evicted. */
    val tasks: Int
        get() = tasksByTeam.values.sum()
}

/** The planning problem: divide machines into steps, each within all budgets. */
class DrainProblem(
    val machines: List<MachineLoad>,
    /** How many tasks of each team one step may evict. */
    val teamLimits: Map<String, Int>,
    /** How many replicas of each service one step may evict. */
    val serviceLimits: Map<String, Int>,
    val stepSize: Int,
    val order: StepOrder,
) {
    /**
     * True if [step] is within all limits; a machine beyond them by itself is a step of its own.
     */
    fun allows(step: List<MachineLoad>): Boolean =
        step.size <= 1 ||
            step.size <= stepSize &&
                step.all { it.isWithinLimits() } &&
                total(step) { it.tasksByTeam }
                    .all { (team, n) -> n <= limitFor(teamLimits, team) } &&
                total(step) { it.replicasByService }
                    .all { (service, n) -> n <= limitFor(serviceLimits, service) } &&
                (order != StepOrder.BY_ZONE || step.all { it.zone == step.first().zone })

    private fun MachineLoad.isWithinLimits() =
        tasksByTeam.all { (team, n) -> n <= limitFor(teamLimits, team) } &&
            replicasByService.all { (service, n) -> n <= limitFor(serviceLimits, service) }

    /** True if [load] is beyond the limits by itself, and so has to be a step of its own. */
    fun needsOwnStep(load: MachineLoad): Boolean = !load.isWithinLimits()

    private fun total(step: List<MachineLoad>, counts: (MachineLoad) -> Map<String, Int>) =
        HashMap<String, Int>().also { sums ->
            for (load in step) counts(load).forEach { (name, n) -> sums.merge(name, n, Int::plus) }
        }

    companion object {
        /** The limit for [name], or [Int.MAX_VALUE] if it has none. */
        fun limitFor(limits: Map<String, Int>, name: String): Int = limits[name] ?: Int.MAX_VALUE
    }
}

/** The steps of a drain, in their order. */
class DrainPlan(
    val steps: List<List<MachineLoad>>,
    /** The number of steps is proven to be the smallest. */
    val isOptimal: Boolean = false,
) {
    /** The cost: fewer steps first, then fewer CPUs evicted at once. */
    val cost: PlanCost
        get() = PlanCost(steps.size, steps.maxOfOrNull { step -> step.sumOf { it.cpus } } ?: 0.0)
}

/** The number of steps, and the largest number of CPUs that one of them evicts. */
data class PlanCost(val steps: Int, val maxStepCpus: Double) : Comparable<PlanCost> {
    override fun compareTo(other: PlanCost) =
        compareValuesBy(this, other, { it.steps }, { it.maxStepCpus })
}

/** First-fit planning, largest machines first: the fallback, and the solver's upper bound. */
object GreedyPlanner {
    /** A plan within all limits. */
    fun plan(problem: DrainProblem): DrainPlan {
        val steps = ArrayList<MutableList<MachineLoad>>()
        for (load in problem.machines.sortedWith(placementOrder(problem))) {
            val step = steps.firstOrNull { problem.allows(it + load) }
            if (step != null) step.add(load) else steps.add(mutableListOf(load))
        }
        return DrainPlan(orderSteps(problem, steps))
    }

    private fun placementOrder(problem: DrainProblem): Comparator<MachineLoad> =
        when (problem.order) {
            StepOrder.FEWEST_STEPS -> compareByDescending<MachineLoad> { it.tasks }
            StepOrder.EMPTIEST_FIRST -> compareBy<MachineLoad> { it.tasks }
            StepOrder.BY_ZONE -> compareBy<MachineLoad> { it.zone }.thenByDescending { it.tasks }
        }.thenBy { it.machine.value }

    /** Sorts [steps] by zone if the problem asks for it, then by the number of evicted tasks. */
    fun orderSteps(problem: DrainProblem, steps: List<List<MachineLoad>>): List<List<MachineLoad>> {
        val fewestTasksFirst = compareBy<List<MachineLoad>> { step -> step.sumOf { it.tasks } }
        val order =
            if (problem.order != StepOrder.BY_ZONE) fewestTasksFirst
            else compareBy<List<MachineLoad>> { it.first().zone }.then(fewestTasksFirst)
        return steps.sortedWith(order)
    }
}
