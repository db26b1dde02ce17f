package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * Guards against services that stay short of replicas: a waiting replica is a replica that is down,
 * so lower-priority tasks are stopped for it without a delay. Also guards against stops in a zone
 * where the service may not place another replica.
 */
class ServicePreemptionTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a", "b"))
    private val teams = listOf(TeamQuota("team-0", 700.0, 700.0))
    private val harness = PlannerHarness(teams, listOf(type), now = 100.seconds)
    private val preemption = harness.preemption()
    private val idleJob =
        harness.addJob(plainJob(64, "job-000900").copy(priority = PriorityClass.IDLE))

    private fun addBlockedJob(spec: JobSpec) =
        harness.addJob(spec).also { it.blockedSince = harness.context.now }

    private fun stoppedIn(zone: String) =
        harness.cluster.machines.values
            .filter { it.zone == zone }
            .sumOf { machine -> machine.placements.values.count { it.isStopping } }

    private fun serviceSpec(tasks: Int) =
        plainJob(tasks, "job-000001")
            .copy(
                kind = JobKind.SERVICE,
                priority = PriorityClass.PROD,
                spread = true,
                spot = false,
                estimateS = 0.0,
            )

    private fun addFullMachine(number: Int, zone: String): Machine {
        val machine = harness.addMachine(number, type, zone, spot = false)
        repeat(8) { harness.addRunningTask(idleJob, number * 8 + it, machine) }
        return machine
    }

    @Test
    fun `lower-priority tasks are stopped at once for a service, after a wait for an array`() {
        addFullMachine(1, "a")
        addFullMachine(2, "b")
        val array = addBlockedJob(serviceSpec(4).copy(id = "job-000002", kind = JobKind.ARRAY))
        preemption.preempt()
        assertEquals(0, stoppedIn("a") + stoppedIn("b"))
        harness.cluster.jobs.remove(array.id)
        addBlockedJob(serviceSpec(4))
        preemption.preempt()
        assertEquals(4, stoppedIn("a") + stoppedIn("b"))
    }

    @Test
    fun `no task is stopped in a zone that already has its share of the service`() {
        val service = addBlockedJob(serviceSpec(4))
        val sharedMachine = harness.addMachine(1, type, "a", spot = false)
        repeat(2) { harness.addRunningTask(service, it, sharedMachine) }
        repeat(6) { harness.addRunningTask(idleJob, it, sharedMachine) }
        addFullMachine(2, "b")
        preemption.preempt()
        assertEquals(0, stoppedIn("a"))
        assertEquals(2, stoppedIn("b"))
        assertTrue(service.placements.values.none { it.isStopping })
    }
}
