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

/** What counts as disrupted: all that is not known to run, and nothing that never ran. */
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

    private fun disruptedAfter(change: () -> Unit): Int {
        change()
        budgets.recount()
        return budgets.disruptedOf("team-0")
    }

    private fun allDisruptedBy(change: Machine.() -> Unit) =
        assertEquals(4, disruptedAfter { machine.change() })

    @Test
    fun `a task that is reported as running is up`() {
        assertEquals(0, budgets.disruptedOf("team-0"))
        assertEquals(2, budgets.limitOf("team-0"))
    }

    @Test
    fun `all tasks count on a machine that is silent, unconfirmed, preempted or decommissioned`() {
        allDisruptedBy { lastHeartbeatAt = 93.seconds }
        assertEquals(0, disruptedAfter { machine.lastHeartbeatAt = 100.seconds })
        allDisruptedBy { hasAdoptedToken = false }
        assertEquals(0, disruptedAfter { machine.hasAdoptedToken = true })
        allDisruptedBy { preemptionNoticeAt = 99.seconds }
        assertEquals(0, disruptedAfter { machine.preemptionNoticeAt = null })
        allDisruptedBy { isDecommissioned = true }
    }

    @Test
    fun `a first start that does not run yet does not count, one of an earlier leader does`() {
        first.runningSince = null
        assertEquals(0, disruptedAfter { first.status = TaskStatus.FETCHING })
        assertEquals(1, disruptedAfter { first.isRestored = true })
        first.isRestored = false
        assertEquals(1, disruptedAfter { first.runningSince = 50.seconds })
    }

    @Test
    fun `an eviction counts from when it was sent, whatever is reported later`() {
        budgets.recordEviction(first)
        assertEquals(1, budgets.disruptedOf("team-0"))
        budgets.recordEviction(first)
        assertEquals(1, budgets.disruptedOf("team-0"), "counted once")
        assertEquals(1, disruptedAfter { first.status = TaskStatus.RUNNING })
    }

    @Test
    fun `an interrupted task counts until it runs again`() {
        harness.cluster.release(first, "test")
        assertEquals(1, disruptedAfter {})
        harness.addRunningTask(job, 0, machine)
        assertEquals(0, disruptedAfter {})
    }

    @Test
    fun `jobs that have ended do not count`() {
        machine.hasAdoptedToken = false
        assertEquals(0, disruptedAfter { job.phase = JobPhase.CANCELLED })
    }

    @Test
    fun `a budget refuses what exceeds it, for now or permanently`() {
        assertNull(budgets.refusal(job, 2))
        assertIs<BudgetRefusal.Permanent>(budgets.refusal(job, 3))
        budgets.recordEviction(first)
        assertNull(budgets.refusal(job, 1))
        assertIs<BudgetRefusal.Temporary>(budgets.refusal(job, 2))
        val small = harness.addJob(plainJob(2, "job-000002").copy(kind = JobKind.SERVICE))
        assertIs<BudgetRefusal.Permanent>(budgets.refusal(small, 1), "two replicas must stay up")
    }

    @Test
    fun `a share is rounded up, and the smaller of number and share holds`() {
        fun limit(share: Double): Int {
            val settings = DrainSettings(budget = budget.copy(maxDisruptedShare = share))
            val own = DisruptionBudgets(harness.context, harness.cluster, settings, 6.seconds)
            own.recount()
            return own.limitOf("team-0")
        }
        assertEquals(1, limit(0.1))
        assertEquals(2, limit(0.5))
        assertEquals(2, limit(1.0))
        assertEquals(0, limit(0.0))
    }

    @Test
    fun `replicas of one service are limited beside the team`() {
        val other: Job = harness.addJob(plainJob(3, "job-000003").copy(kind = JobKind.SERVICE))
        repeat(3) { harness.addRunningTask(other, it, harness.addMachine(2 + it, type)) }
        budgets.recount()
        budgets.recordEviction(other.placements.get(0))
        assertIs<BudgetRefusal.Temporary>(budgets.refusal(other, 1), "one of three may be down")
        assertNull(budgets.refusal(job, 1))
    }
}
