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

/** What counts as disrupted: all that does not surely run, and nothing that never did. */
class DisruptionBudgetsTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val harness =
        PlannerHarness(listOf(TeamQuota("team-0", 700.0, 700.0)), listOf(type), now = 100.seconds)
    private val budget = BudgetSettings(maxDisrupted = 2, minReplicas = 2)
    private val disruptions =
        DisruptionBudgets(
            harness.context,
            harness.cluster,
            DrainSettings(budget = budget),
            6.seconds,
        )
    private val machine = harness.machine(1, type)
    private val job = harness.job(plainJob(4).copy(shape = JobKind.SERVICE))

    init {
        repeat(4) { harness.run(job, it, machine) }
        for (placement in job.placements.values) placement.runningSince = 50.seconds
        disruptions.count()
    }

    private val first: Placement
        get() = job.placements.get(0)

    private fun lost(change: () -> Unit): Int {
        change()
        disruptions.count()
        return disruptions.disruptedOf("team-0")
    }

    private fun allLostBy(change: Machine.() -> Unit) = assertEquals(4, lost { machine.change() })

    @Test
    fun `what is reported as running is up`() {
        assertEquals(0, disruptions.disruptedOf("team-0"))
        assertEquals(2, disruptions.limitOf("team-0"))
    }

    @Test
    fun `a machine that is silent, unconfirmed, recalled or given up has lost all`() {
        allLostBy { lastHeartbeatAt = 93.seconds }
        assertEquals(0, lost { machine.lastHeartbeatAt = 100.seconds })
        allLostBy { confirmed = false }
        assertEquals(0, lost { machine.confirmed = true })
        allLostBy { preemptionNoticeAt = 99.seconds }
        assertEquals(0, lost { machine.preemptionNoticeAt = null })
        allLostBy { decommissioned = true }
    }

    @Test
    fun `a first start that does not run yet was never up, one in doubt may have been`() {
        first.runningSince = null
        assertEquals(0, lost { first.status = TaskStatus.FETCHING })
        assertEquals(1, lost { first.restored = true })
        first.restored = false
        assertEquals(1, lost { first.runningSince = 50.seconds })
    }

    @Test
    fun `a stop counts from when it went out, whatever is reported later`() {
        disruptions.stopped(first)
        assertEquals(1, disruptions.disruptedOf("team-0"))
        disruptions.stopped(first)
        assertEquals(1, disruptions.disruptedOf("team-0"), "counted once")
        assertEquals(1, lost { first.status = TaskStatus.RUNNING })
    }

    @Test
    fun `what was interrupted counts until it runs again`() {
        harness.cluster.release(first, "test")
        assertEquals(1, lost {})
        harness.run(job, 0, machine)
        assertEquals(0, lost {})
    }

    @Test
    fun `jobs that are over count for nothing`() {
        machine.confirmed = false
        assertEquals(0, lost { job.phase = JobPhase.CANCELLED })
    }

    @Test
    fun `a budget refuses what goes beyond it, for now or for ever`() {
        assertNull(disruptions.refusal(job, 2))
        assertIs<BudgetRefusal.Never>(disruptions.refusal(job, 3))
        disruptions.stopped(first)
        assertNull(disruptions.refusal(job, 1))
        assertIs<BudgetRefusal.NotNow>(disruptions.refusal(job, 2))
        val small = harness.job(plainJob(2, "job-000002").copy(shape = JobKind.SERVICE))
        assertIs<BudgetRefusal.Never>(disruptions.refusal(small, 1), "two replicas must stay up")
    }

    @Test
    fun `a share is rounded up, and the smaller of number and share holds`() {
        fun limit(share: Double): Int {
            val settings = DrainSettings(budget = budget.copy(maxDisruptedShare = share))
            val own = DisruptionBudgets(harness.context, harness.cluster, settings, 6.seconds)
            own.count()
            return own.limitOf("team-0")
        }
        assertEquals(1, limit(0.1))
        assertEquals(2, limit(0.5))
        assertEquals(2, limit(1.0))
        assertEquals(0, limit(0.0))
    }

    @Test
    fun `replicas of one service are limited beside the team`() {
        val other: Job = harness.job(plainJob(3, "job-000003").copy(shape = JobKind.SERVICE))
        repeat(3) { harness.run(other, it, harness.machine(2 + it, type)) }
        disruptions.count()
        disruptions.stopped(other.placements.get(0))
        assertIs<BudgetRefusal.NotNow>(disruptions.refusal(other, 1), "one of three may be down")
        assertNull(disruptions.refusal(job, 1))
    }
}
