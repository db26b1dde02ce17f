package wardmux.drain

import wardmux.model.MachineId

/** The tasks that draining [machine] evicts. */
class MachineLoad(
    val machine: MachineId,
    val zone: String,
    /** The number of CPUs that the evicted tasks use. */
    val cpus: Double,
    /** The number of evicted tasks by team name. */
    val tasksByTeam: Map<String, Int>,
    /** The number of evicted replicas by the job id of their service. */
    val replicasByService: Map<String, Int>,
) {
    /** The number of evicted tasks of all teams. */
    val tasks: Int
        get() = tasksByTeam.values.sum()
}

/**
 * The planning problem of a drain: divide [machines] into steps so that each step is within all
 * limits.
 */
class DrainProblem(
    val machines: List<MachineLoad>,
    /** The number of tasks of each team that one step may evict, by team name. */
    val teamLimits: Map<String, Int>,
    /** The number of replicas of each service that one step may evict, by job id. */
    val serviceLimits: Map<String, Int>,
    /** The largest number of machines in one step. */
    val stepSize: Int,
    val order: StepOrder,
) {
    /**
     * True if [step] is within all limits. A single machine is always allowed: a machine that
     * exceeds a limit by itself is drained in its own step.
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

    /** True if [load] exceeds a limit by itself and therefore needs its own step. */
    fun needsOwnStep(load: MachineLoad): Boolean = !load.isWithinLimits()

    private fun total(step: List<MachineLoad>, counts: (MachineLoad) -> Map<String, Int>) =
        HashMap<String, Int>().also { sums ->
            for (load in step) counts(load).forEach { (name, n) -> sums.merge(name, n, Int::plus) }
        }

    companion object {
        /** The limit for the team or service [name]; [Int.MAX_VALUE] if it has none. */
        fun limitFor(limits: Map<String, Int>, name: String): Int = limits[name] ?: Int.MAX_VALUE
    }
}

/** The steps of a drain, in the order in which they are carried out. */
class DrainPlan(
    val steps: List<List<MachineLoad>>,
    /** True if the solver proved that no plan has fewer steps. */
    val isOptimal: Boolean = false,
) {
    /** The cost of the plan, by which plans are compared. */
    val cost: PlanCost
        get() = PlanCost(steps.size, steps.maxOfOrNull { step -> step.sumOf { it.cpus } } ?: 0.0)
}

/**
 * The cost of a plan: its number of steps, and the largest number of CPUs that one step evicts.
 * Fewer steps are better; with equal steps, fewer CPUs are better.
 */
data class PlanCost(val steps: Int, val maxStepCpus: Double) : Comparable<PlanCost> {
    override fun compareTo(other: PlanCost) =
        compareValuesBy(this, other, { it.steps }, { it.maxStepCpus })
}

/**
 * Plans by first fit: each machine goes into the first step whose limits allow it. Machines with
 * the most tasks come first unless the order asks for the emptiest first. The plan is the fallback
 * if the solver has none, and the solver's upper bound on the number of steps.
 */
object GreedyPlanner {
    /** A plan in which each step is allowed by [problem]. */
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

    /** Sorts [steps] by zone if the order is [StepOrder.BY_ZONE], then by evicted tasks. */
    fun orderSteps(problem: DrainProblem, steps: List<List<MachineLoad>>): List<List<MachineLoad>> {
        val fewestTasksFirst = compareBy<List<MachineLoad>> { step -> step.sumOf { it.tasks } }
        val order =
            if (problem.order != StepOrder.BY_ZONE) fewestTasksFirst
            else compareBy<List<MachineLoad>> { it.first().zone }.then(fewestTasksFirst)
        return steps.sortedWith(order)
    }
}
