package wardmux.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.config.TeamQuota
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobPhase
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Placement
import wardmux.model.TaskStatus
import wardmux.model.seconds
import wardmux.scheduling.PlannerHarness
import wardmux.sim.plainJob

/**
 * Guards against evictions beyond a team's budget. They happen if a task that is not known to be
 * running is not counted as disrupted, or if the limits of a team or service are computed wrongly.
 * A task that has never run must not count, because it would use up the budget needlessly.
 */
class DisruptionBudgetsTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val harness =
        PlannerHarness(listOf(TeamQuota("team-0", 700.0, 700.0)), listOf(type), now = 100.seconds)
    private val budget = BudgetSettings(maxDisrupted = 2, minReplicas = 2)
    private val budgets =
        DisruptionBudgets(
            harness.context,
            harness.cluster,
            DrainSettings(budget = budget),
            6.seconds,
        )
    private val machine = harness.addMachine(1, type)
    private val job = harness.addJob(plainJob(4).copy(kind = JobKind.SERVICE))

    init {
        repeat(4) { harness.addRunningTask(job, it, machine) }
        for (placement in job.placements.values) placement.runningSince = 50.seconds
        budgets.recount()
    }

    private val first: Placement
        get() = job.placements.get(0)

    /** Applies [change], recounts, and returns the number of disrupted tasks. */
    private fun disruptedAfter(change: () -> Unit): Int {
        change()
        budgets.recount()
        return budgets.disruptedTasks("team-0")
    }

    /** Asserts that all four tasks count as disrupted after [change] of their machine. */
    private fun assertAllDisruptedBy(change: Machine.() -> Unit) =
        assertEquals(4, disruptedAfter { machine.change() })

    @Test
    fun `a task that is reported as running is not disrupted`() {
        assertEquals(0, budgets.disruptedTasks("team-0"))
        assertEquals(2, budgets.disruptionLimit("team-0"))
    }

    @Test
    fun `tasks on a silent, unconfirmed, preempted or decommissioned machine count as disrupted`() {
        assertAllDisruptedBy { lastHeartbeatAt = 93.seconds }
        assertEquals(0, disruptedAfter { machine.lastHeartbeatAt = 100.seconds })
        assertAllDisruptedBy { hasAdoptedToken = false }
        assertEquals(0, disruptedAfter { machine.hasAdoptedToken = true })
        assertAllDisruptedBy { preemptionNoticeAt = 99.seconds }
        assertEquals(0, disruptedAfter { machine.preemptionNoticeAt = null })
        assertAllDisruptedBy { isDecommissioned = true }
    }

    @Test
    fun `a first attempt that does not run yet counts only if an earlier leader started it`() {
        first.runningSince = null
        assertEquals(0, disruptedAfter { first.status = TaskStatus.FETCHING })
        assertEquals(1, disruptedAfter { first.isRestored = true })
        first.isRestored = false
        assertEquals(1, disruptedAfter { first.runningSince = 50.seconds })
    }

    @Test
    fun `an evicted task counts as disrupted at once, whatever is reported later`() {
        budgets.recordEviction(first)
        assertEquals(1, budgets.disruptedTasks("team-0"))
        budgets.recordEviction(first)
        assertEquals(
            1,
            budgets.disruptedTasks("team-0"),
            "expected a repeated eviction of the task to count once",
        )
        assertEquals(1, disruptedAfter { first.status = TaskStatus.RUNNING })
    }

    @Test
    fun `an interrupted task counts as disrupted until it runs again`() {
        harness.cluster.release(first, "test")
        assertEquals(1, disruptedAfter {})
        harness.addRunningTask(job, 0, machine)
        assertEquals(0, disruptedAfter {})
    }

    @Test
    fun `tasks of an ended job do not count as disrupted`() {
        machine.hasAdoptedToken = false
        assertEquals(0, disruptedAfter { job.phase = JobPhase.CANCELLED })
    }

    @Test
    fun `an eviction beyond the budget is refused, temporarily or permanently`() {
        assertNull(budgets.refusal(job, 2))
        assertIs<BudgetRefusal.Permanent>(budgets.refusal(job, 3))
        budgets.recordEviction(first)
        assertNull(budgets.refusal(job, 1))
        assertIs<BudgetRefusal.Temporary>(budgets.refusal(job, 2))
        val smallService = harness.addJob(plainJob(2, "job-000002").copy(kind = JobKind.SERVICE))
        assertIs<BudgetRefusal.Permanent>(
            budgets.refusal(smallService, 1),
            "expected a refusal, because two replicas must stay up",
        )
    }

    @Test
    fun `the share of a budget is rounded up, and the smaller of number and share is the limit`() {
        fun limitForShare(share: Double): Int {
            val settings = DrainSettings(budget = budget.copy(maxDisruptedShare = share))
            val own = DisruptionBudgets(harness.context, harness.cluster, settings, 6.seconds)
            own.recount()
            return own.disruptionLimit("team-0")
        }
        assertEquals(1, limitForShare(0.1))
        assertEquals(2, limitForShare(0.5))
        assertEquals(2, limitForShare(1.0))
        assertEquals(0, limitForShare(0.0))
    }

    @Test
    fun `replicas of one service have a limit in addition to that of their team`() {
        val otherService: Job =
            harness.addJob(plainJob(3, "job-000003").copy(kind = JobKind.SERVICE))
        repeat(3) { harness.addRunningTask(otherService, it, harness.addMachine(2 + it, type)) }
        budgets.recount()
        budgets.recordEviction(otherService.placements.get(0))
        assertIs<BudgetRefusal.Temporary>(
            budgets.refusal(otherService, 1),
            "expected a refusal, because only one of three replicas may be down",
        )
        assertNull(budgets.refusal(job, 1))
    }
}
