package wardmux.drain

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.model.MachineId
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against plans that evict more in one step than the limits allow, that leave out a machine
 * or drain it twice, and against solver plans that cost more than the greedy plan.
 */
class DrainPlanTest {
    /** A machine from which [tasks] of one CPU each are evicted, given as team and number. */
    private fun machineLoad(number: Int, zone: String, vararg tasks: Pair<String, Int>) =
        MachineLoad(
            MachineId("i-%06d".format(number)),
            zone,
            tasks.sumOf { it.second }.toDouble(),
            tasks.toMap(),
            emptyMap(),
        )

    /** The solver's plan with a limit of 5,000 search nodes. */
    private fun solve(problem: DrainProblem) = SolverPlanner.plan(problem, 30.seconds, 5_000)

    private fun problem(
        loads: List<MachineLoad>,
        limits: Map<String, Int>,
        stepSize: Int = 4,
        order: StepOrder = StepOrder.FEWEST_STEPS,
    ) = DrainProblem(loads, limits, emptyMap(), stepSize, order)

    /** True if [problem] allows each step and each of its machines is in exactly one step. */
    private fun DrainPlan.isValid(problem: DrainProblem) =
        steps.all { problem.allows(it) } &&
            steps.flatten().map { it.machine }.sortedBy { it.value } ==
                problem.machines.map { it.machine }.sortedBy { it.value }

    @Test
    fun `the solver finds fewer steps where first fit is not optimal`() {
        // With one team, first fit decreasing is optimal for task counts such as 5 4 3 3 2 1 and a
        // limit of 9: it needs two steps, (5 4) and (3 3 2 1). With the limits of two teams it can
        // need more steps than necessary.
        val loads =
            listOf(
                machineLoad(1, "a", "x" to 3, "y" to 1),
                machineLoad(2, "a", "x" to 1, "y" to 3),
                machineLoad(3, "a", "x" to 2, "y" to 1),
                machineLoad(4, "a", "x" to 1, "y" to 2),
                machineLoad(5, "a", "x" to 2, "y" to 2),
                machineLoad(6, "a", "x" to 3),
            )
        val problem = problem(loads, mapOf("x" to 4, "y" to 4))
        val greedy = GreedyPlanner.plan(problem)
        val solverPlan = solve(problem)
        assertTrue(solverPlan.isValid(problem))
        assertTrue(solverPlan.cost <= greedy.cost)
        assertTrue(solverPlan.isOptimal)
        assertEquals(3, solverPlan.steps.size)
    }

    /** A problem with random tasks of three teams in two zones; [seed] also selects the order. */
    private fun randomProblem(seed: Int, machines: Int): DrainProblem {
        val random = Random(seed)
        val loads =
            List(machines) {
                machineLoad(
                    it,
                    listOf("a", "b").random(random),
                    "x" to random.nextInt(4),
                    "y" to random.nextInt(4),
                    "z" to random.nextInt(3),
                )
            }
        val limits = mapOf("x" to 4, "y" to 5, "z" to 3)
        return problem(loads, limits, stepSize = 4, StepOrder.entries[seed % 3])
    }

    /**
     * Numbers of machines from the system property `drain.plans`, such as `20,60,120`; null if it
     * is not set. With the property the solver has a time limit of 300 ms instead of a node limit.
     */
    private val requestedSizes = System.getProperty("drain.plans")?.split(',')?.map { it.toInt() }

    /**
     * Checks for each seed that both plans are valid and that the solver's plan costs no more than
     * the greedy plan. Returns a summary of the plans for problems with [machines] machines.
     */
    private fun comparePlanners(machines: Int): String {
        var greedySteps = 0
        var solvedSteps = 0
        var provenOptimal = 0
        var maxStepCpusDifference = 0.0
        val startNanos = System.nanoTime()
        for (seed in 1..SEED_COUNT) {
            val problem = randomProblem(seed, machines)
            val greedy = GreedyPlanner.plan(problem)
            val solverPlan =
                if (requestedSizes == null) solve(problem)
                else SolverPlanner.plan(problem, 300.milliseconds)
            assertTrue(greedy.isValid(problem), "seed $seed: expected a valid greedy plan")
            assertTrue(solverPlan.isValid(problem), "seed $seed: expected a valid solver plan")
            assertTrue(
                solverPlan.cost <= greedy.cost,
                "seed $seed: expected at most ${greedy.cost}, but was ${solverPlan.cost}",
            )
            greedySteps += greedy.cost.steps
            solvedSteps += solverPlan.cost.steps
            maxStepCpusDifference += solverPlan.cost.maxStepCpus - greedy.cost.maxStepCpus
            if (solverPlan.isOptimal) provenOptimal++
        }
        val milliseconds = (System.nanoTime() - startNanos) / 1_000_000 / SEED_COUNT
        assertTrue(
            solvedSteps < greedySteps,
            "expected fewer than $greedySteps steps in total, but the solver has $solvedSteps",
        )
        return "$machines machines: greedy $greedySteps steps, solver $solvedSteps, " +
            "$provenOptimal of $SEED_COUNT proven optimal, largest step differs by " +
            "$maxStepCpusDifference CPUs in total, $milliseconds ms per problem"
    }

    @Test
    fun `plans of random problems are within all limits, and the solver is never worse`() {
        for (size in requestedSizes ?: listOf(8, 14)) {
            val summary = comparePlanners(size)
            if (requestedSizes != null) println(summary)
        }
    }

    @Test
    fun `a machine that exceeds a limit has its own step, and steps by zone do not mix zones`() {
        val loads =
            listOf(
                machineLoad(1, "b", "x" to 9),
                machineLoad(2, "a", "x" to 1),
                machineLoad(3, "b"),
                machineLoad(4, "a"),
            )
        val problem = problem(loads, mapOf("x" to 2), order = StepOrder.BY_ZONE)
        val plan = solve(problem)
        assertTrue(plan.isValid(problem))
        assertEquals(listOf("a", "b", "b"), plan.steps.map { it.first().zone })
        assertTrue(plan.steps.any { step -> step.map { it.machine.value } == listOf("i-000001") })
    }

    @Test
    fun `a step evicts no more replicas of a service than the limit of the service`() {
        val loads =
            List(4) {
                MachineLoad(MachineId("i-$it"), "a", 1.0, mapOf("x" to 1), mapOf("job-1" to 1))
            }
        val problem =
            DrainProblem(loads, mapOf("x" to 9), mapOf("job-1" to 2), 4, StepOrder.FEWEST_STEPS)
        assertEquals(2, solve(problem).steps.size)
        assertEquals(2, GreedyPlanner.plan(problem).steps.size)
    }

    private companion object {
        const val SEED_COUNT = 25
    }
}
