package wardmux.drain

import wardmux.model.MachineId

/** What is to be moved off one machine. */
class MachineLoad(
    val machine: MachineId,
    val zone: String,
    /** CPUs that have to be found elsewhere. */
    val cpus: Double,
    /** Tasks that have to be moved, by team. */
    val tasksByTeam: Map<String, Int>,
    /** Replicas that have to be moved, by service. */
    val replicasByService: Map<String, Int>,
) {
    /** All tasks that have to be moved. */
    val tasks: Int
        get() = tasksByTeam.values.sum()
}

/** Which machines go in which step, so that every budget holds in every step. */
class DrainProblem(
    val machines: List<MachineLoad>,
    /** How many tasks of each team one step may move. */
    val teamLimits: Map<String, Int>,
    /** How many replicas of each service one step may move. */
    val serviceLimits: Map<String, Int>,
    val stepSize: Int,
    val order: StepOrder,
) {
    /** True if [step] keeps all limits; a machine that is too large for them goes alone. */
    fun allows(step: List<MachineLoad>): Boolean =
        step.size <= 1 ||
            step.size <= stepSize &&
                step.all { it.keepsLimits() } &&
                total(step) { it.tasksByTeam }.all { (team, n) -> n <= limit(teamLimits, team) } &&
                total(step) { it.replicasByService }
                    .all { (service, n) -> n <= limit(serviceLimits, service) } &&
                (order != StepOrder.BY_ZONE || step.all { it.zone == step.first().zone })

    private fun MachineLoad.keepsLimits() =
        tasksByTeam.all { (team, n) -> n <= limit(teamLimits, team) } &&
            replicasByService.all { (service, n) -> n <= limit(serviceLimits, service) }

    /** What does not keep the limits by itself goes alone. */
    fun goesAlone(load: MachineLoad): Boolean = !load.keepsLimits()

    private fun total(step: List<MachineLoad>, counts: (MachineLoad) -> Map<String, Int>) =
        HashMap<String, Int>().also { sums ->
            for (load in step) counts(load).forEach { (name, n) -> sums.merge(name, n, Int::plus) }
        }

    companion object {
        /** The limit for [name]; what has none is not limited. */
        fun limit(limits: Map<String, Int>, name: String): Int = limits[name] ?: Int.MAX_VALUE
    }
}

/** The steps, in their order. */
class DrainPlan(
    val steps: List<List<MachineLoad>>,
    /** Proven to take the fewest steps. */
    val isOptimal: Boolean = false,
) {
    /** How good it is: fewer steps first, then less room needed at once; smaller is better. */
    val measure: PlanMeasure
        get() = PlanMeasure(steps.size, steps.maxOfOrNull { step -> step.sumOf { it.cpus } } ?: 0.0)
}

/** The number of steps, and the most CPUs that one of them moves. */
data class PlanMeasure(val steps: Int, val maxCpus: Double) : Comparable<PlanMeasure> {
    override fun compareTo(other: PlanMeasure) =
        compareValuesBy(this, other, { it.steps }, { it.maxCpus })
}

/** First fit, the largest first: the fallback, and what the solver begins from. */
object GreedyPlanner {
    /** A plan that keeps all limits. */
    fun plan(problem: DrainProblem): DrainPlan {
        val steps = ArrayList<MutableList<MachineLoad>>()
        for (load in problem.machines.sortedWith(placingOrder(problem))) {
            val step = steps.firstOrNull { problem.allows(it + load) }
            if (step != null) step.add(load) else steps.add(mutableListOf(load))
        }
        return DrainPlan(inOrder(problem, steps))
    }

    private fun placingOrder(problem: DrainProblem): Comparator<MachineLoad> =
        when (problem.order) {
            StepOrder.FEWEST_STEPS -> compareByDescending<MachineLoad> { it.tasks }
            StepOrder.EMPTIEST_FIRST -> compareBy<MachineLoad> { it.tasks }
            StepOrder.BY_ZONE -> compareBy<MachineLoad> { it.zone }.thenByDescending { it.tasks }
        }.thenBy { it.machine.value }

    /** Zone by zone if that is asked for, and those that move least first. */
    fun inOrder(problem: DrainProblem, steps: List<List<MachineLoad>>): List<List<MachineLoad>> {
        val emptiest = compareBy<List<MachineLoad>> { step -> step.sumOf { it.tasks } }
        val order =
            if (problem.order != StepOrder.BY_ZONE) emptiest
            else compareBy<List<MachineLoad>> { it.first().zone }.then(emptiest)
        return steps.sortedWith(order)
    }
}
