package wardmux.drain

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.model.MachineId
import wardmux.model.milliseconds
import wardmux.model.seconds

/** Plans keep every limit; the solver's is never worse than the greedy one. */
class DrainPlanTest {
    private fun machineLoad(number: Int, zone: String, vararg tasks: Pair<String, Int>) =
        MachineLoad(
            MachineId("i-%06d".format(number)),
            zone,
            tasks.sumOf { it.second }.toDouble(),
            tasks.toMap(),
            emptyMap(),
        )

    private fun solve(problem: DrainProblem) = SolverPlanner.plan(problem, 30.seconds, 5_000)

    private fun problem(
        loads: List<MachineLoad>,
        limits: Map<String, Int>,
        stepSize: Int = 4,
        order: StepOrder = StepOrder.FEWEST_STEPS,
    ) = DrainProblem(loads, limits, emptyMap(), stepSize, order)

    private fun DrainPlan.isValid(problem: DrainProblem) =
        steps.all { problem.allows(it) } &&
            steps.flatten().map { it.machine }.sortedBy { it.value } ==
                problem.machines.map { it.machine }.sortedBy { it.value }

    @Test
    fun `the solver finds fewer steps where first fit is not optimal`() {
        // By tasks: 5 4 3 3 2 1 under 9; first fit decreasing takes (5 4) (3 3 2 1): two steps.
        // With two teams it packs worse than need be.
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

    /** Sizes of the problems; others, such as `20,60,120`, with the time that settings allow. */
    private val requestedSizes = System.getProperty("drain.plans")?.split(',')?.map { it.toInt() }

    /** All plans are sound, and the solver's never worse; gives what they measure together. */
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
            assertTrue(greedy.isValid(problem), "greedy, seed $seed")
            assertTrue(solverPlan.isValid(problem), "solved, seed $seed")
            assertTrue(solverPlan.cost <= greedy.cost, "seed $seed")
            greedySteps += greedy.cost.steps
            solvedSteps += solverPlan.cost.steps
            maxStepCpusDifference += solverPlan.cost.maxStepCpus - greedy.cost.maxStepCpus
            if (solverPlan.isOptimal) provenOptimal++
        }
        val milliseconds = (System.nanoTime() - startNanos) / 1_000_000 / SEED_COUNT
        assertTrue(solvedSteps < greedySteps, "the solver never found fewer steps")
        return "$machines machines: greedy $greedySteps steps, solver $solvedSteps, " +
            "$provenOptimal of $SEED_COUNT proven, CPUs at once by $maxStepCpusDifference, $milliseconds ms each"
    }

    @Test
    fun `plans of seeded problems are within all limits, and the solver is never worse`() {
        for (size in requestedSizes ?: listOf(8, 14)) {
            val summary = comparePlanners(size)
            if (requestedSizes != null) println(summary)
        }
    }

    @Test
    fun `a machine beyond a limit is a step of its own, and steps by zone do not mix zones`() {
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
    fun `replicas of a service have a limit of their own`() {
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
