package wardmux.drain

import wardmux.config.DrainSettings
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Provides the next step of each drain. The solver computes plans in the background, and no more
 * often than the configured share of a processor allows. The greedy plan is used if the solver is
 * off, not due yet, or does not answer in time.
 */
class PlanScheduler(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val budgets: DisruptionBudgets,
    private val settings: DrainSettings,
    private val inspector: StepInspector,
) {
    /** A plan that was requested from the solver and not used yet. */
    private class PendingPlan(val requestedAt: Micros) {
        var isAnswered = false
        var plan: DrainPlan? = null
    }

    private val log = logger<PlanScheduler>()
    private val pending = HashMap<String, PendingPlan>()
    private var nextPlanAt = Micros.LONG_AGO

    /**
     * The planning problem of the drain for [machines]. Each limit is at least 1, because a step
     * must be able to evict something.
     */
    fun problem(request: DrainRequest, machines: List<Machine>): DrainProblem {
        val teams = cluster.teams.keys.associateWith { maxOf(1, budgets.disruptionLimit(it)) }
        val services =
            cluster.jobs.values
                .filter { it.spec.kind == JobKind.SERVICE }
                .associate { it.id.value to maxOf(1, budgets.maxDownReplicas(it)) }
        val loads = machines.map { loadOf(it, request) }
        return DrainProblem(loads, teams, services, request.stepSize, request.order)
    }

    private fun loadOf(machine: Machine, request: DrainRequest): MachineLoad {
        val evicted = inspector.tasksToEvict(machine, request)
        return MachineLoad(
            machine.id,
            machine.zone,
            evicted.sumOf { it.job.spec.cpus },
            evicted.groupingBy { it.job.spec.team }.eachCount(),
            evicted.filter { it.isReplica }.groupingBy { it.job.id.value }.eachCount(),
        )
    }

    /** The machines of the next step; null while the solver computes a plan. */
    fun nextStep(request: DrainRequest, machines: List<Machine>): List<Machine>? {
        val machinesById = machines.associateBy { it.id }
        val pendingPlan = pending[request.id]
        if (
            pendingPlan != null &&
                !pendingPlan.isAnswered &&
                context.now - pendingPlan.requestedAt < timeout
        )
            return null
        pending.remove(request.id)
        pendingPlan
            ?.plan
            ?.let { firstStep(it, machinesById) }
            ?.let {
                return it
            }
        val problem = problem(request, machines)
        if (pendingPlan == null && requestPlan(request, problem)) return null
        val step = GreedyPlanner.plan(problem).steps.first()
        return step.map { machinesById.getValue(it.machine) }
    }

    /**
     * The machines of the first step of [plan]; null if the plan has no step or some of its
     * machines are no longer to be drained.
     */
    private fun firstStep(plan: DrainPlan, machinesById: Map<MachineId, Machine>): List<Machine>? {
        val step = plan.steps.firstOrNull() ?: return null
        val machines = step.mapNotNull { machinesById[it.machine] }
        return machines.takeIf { it.size == step.size }
    }

    private val timeout: Micros
        get() = settings.solverTimeS.seconds + PLAN_RESULT_MARGIN

    /**
     * Requests a plan from the solver. Returns false if the solver is off, its next plan is not due
     * yet, or there is only one machine.
     */
    private fun requestPlan(request: DrainRequest, problem: DrainProblem): Boolean {
        if (settings.solverTimeS <= 0 || settings.solverShare <= 0) return false
        if (context.now < nextPlanAt || problem.machines.size <= 1) return false
        nextPlanAt = context.now + (settings.solverTimeS / settings.solverShare).seconds
        val pendingPlan = PendingPlan(context.now)
        pending[request.id] = pendingPlan
        context.compute(DrainPlanning(problem, settings.solverTimeS.seconds)) { plan ->
            pendingPlan.isAnswered = true
            pendingPlan.plan = plan
            log.debug("solver plan for drain {}: {} steps", request.id, plan?.steps?.size)
        }
        return true
    }

    private companion object {
        /** How long to wait for the solver's result after its time limit. */
        val PLAN_RESULT_MARGIN = 2.seconds
    }
}
