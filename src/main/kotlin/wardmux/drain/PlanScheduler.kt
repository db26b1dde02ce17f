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
 * Gives the steps of drains. Plans are worked out beside the core, one at a time and no more often
 * than the settings' share of a processor allows; where none comes in time, the greedy plan serves.
 */
class PlanScheduler(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val disruptions: DisruptionBudgets,
    private val settings: DrainSettings,
    private val executor: StepExecutor,
) {
    private class Pending(val since: Micros) {
        var isAnswered = false
        var plan: DrainPlan? = null
    }

    private val log = logger<PlanScheduler>()
    private val pending = HashMap<String, Pending>()
    private var solveAt = Micros.LONG_AGO

    /** What is to be planned for the machines that are left. */
    fun problem(request: DrainRequest, machines: List<Machine>): DrainProblem {
        val teams = cluster.teams.keys.associateWith { maxOf(1, disruptions.limitOf(it)) }
        val services =
            cluster.jobs.values
                .filter { it.spec.shape == JobKind.SERVICE }
                .associate { it.id.value to maxOf(1, disruptions.maxReplicasDown(it)) }
        val loads = machines.map { loadOf(it, request) }
        return DrainProblem(loads, teams, services, request.stepSize, request.order)
    }

    private fun loadOf(machine: Machine, request: DrainRequest): MachineLoad {
        val moving = executor.tasksToMove(machine, request)
        return MachineLoad(
            machine.id,
            machine.zone,
            moving.sumOf { it.job.spec.cpus },
            moving.groupingBy { it.job.spec.team }.eachCount(),
            moving.filter { it.isReplica }.groupingBy { it.job.id.value }.eachCount(),
        )
    }

    /** The machines of the next step, or null while they are being worked out. */
    fun nextStep(request: DrainRequest, machines: List<Machine>): List<Machine>? {
        val known = machines.associateBy { it.id }
        val asked = pending[request.id]
        if (asked != null && !asked.isAnswered && context.now - asked.since < patience())
            return null
        pending.remove(request.id)
        val fresh = asked?.plan?.let { plan -> current(plan, known) }
        if (fresh != null) return fresh
        val problem = problem(request, machines)
        if (asked == null && ask(request, problem)) return null
        val step = GreedyPlanner.plan(problem).steps.first()
        return step.map { known.getValue(it.machine) }
    }

    /** The first step of [plan] if its machines are still there to be taken out. */
    private fun current(plan: DrainPlan, known: Map<MachineId, Machine>): List<Machine>? {
        val step = plan.steps.firstOrNull() ?: return null
        val machines = step.mapNotNull { known[it.machine] }
        return machines.takeIf { it.size == step.size }
    }

    private fun patience(): Micros = settings.solverTimeS.seconds + ANSWER_SLACK

    /** False if no plan may be worked out now. */
    private fun ask(request: DrainRequest, problem: DrainProblem): Boolean {
        if (settings.solverTimeS <= 0 || settings.solverShare <= 0) return false
        if (context.now < solveAt || problem.machines.size <= 1) return false
        solveAt = context.now + (settings.solverTimeS / settings.solverShare).seconds
        val asked = Pending(context.now)
        pending[request.id] = asked
        context.compute(DrainPlanning(problem, settings.solverTimeS.seconds)) { plan ->
            asked.isAnswered = true
            asked.plan = plan
            log.debug("plan for {}: {} steps", request.id, plan?.steps?.size)
        }
        return true
    }

    private companion object {
        val ANSWER_SLACK = 2.seconds
    }
}
