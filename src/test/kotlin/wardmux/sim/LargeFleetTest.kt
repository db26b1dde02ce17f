package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against leases that expire and machines that are decommissioned after a change of leader,
 * when 4002 machines send heartbeats to three controllers and all need the new leader's token.
 */
class LargeFleetTest {
    /**
     * Rents all machines, runs a task on each, crashes the leader, and checks that the next one
     * keeps all machines.
     *
     * @param fdLimit the number of sockets that each controller may have open
     */
    private fun checkLeaderChange(fdLimit: Int, operators: OperatorSettings) {
        val simulation =
            ClusterSimulation(
                seed = 7,
                operators = operators,
                startWithMachines = false,
                capacityPerZone = MACHINE_COUNT / MACHINE_POOL_COUNT,
                fdLimit = fdLimit,
                teamCpuLimit = 64.0 * MACHINE_COUNT,
            )
        repeat(MACHINE_COUNT) {
            simulation.cloud.rent(
                ZONES[it % ZONES.size],
                spot = it % MACHINE_POOL_COUNT < ZONES.size,
            )
        }
        // A task runs on every machine, so that none is returned to the cloud as idle.
        simulation.clock.after(2.seconds) { simulation.submit(longJob(simulation)) }
        simulation.run(50.seconds)
        val machinesBefore = simulation.cloud.workers().map { it.id }
        assertEquals(MACHINE_COUNT, machinesBefore.size, "machines before the leader crashes")
        simulation.crash(simulation.leader()!!, downtime = 700.milliseconds)
        simulation.run(110.seconds)
        assertEquals(emptyList(), simulation.violations(), "violated invariants")
        assertEquals(
            machinesBefore,
            simulation.cloud.workers().map { it.id },
            "machines after the change of leader",
        )
        val workersWithNewSession = simulation.cloud.workers().count { it.sessions > 1 }
        assertEquals(0, workersWithNewSession, "workers whose lease expired")
        val workersWithLeaderToken =
            simulation.cloud.workers().count { it.hasToken(simulation.leaderToken()) }
        assertEquals(
            MACHINE_COUNT,
            workersWithLeaderToken,
            "workers that have the token of the new leader",
        )
        assertTrue(
            simulation.invariants.starts >= MACHINE_COUNT,
            "at least $MACHINE_COUNT starts expected, seen ${simulation.invariants.starts}",
        )
    }

    private fun longJob(simulation: ClusterSimulation) =
        simulation
            .randomJob()
            .unconstrained()
            .copy(
                kind = JobKind.ARRAY,
                tasks = MACHINE_COUNT,
                cpus = FakeWorker.CPUS,
                estimateS = 400.0,
                deadlineS = 800.0,
            )

    @Test
    fun `a new leader keeps all machines when all controllers take heartbeats`() =
        checkLeaderChange(fdLimit = 1_800, OperatorSettings(idleKeepBoots = IDLE_KEEP_BOOTS))

    @Test
    fun `a new leader keeps all machines when it takes all heartbeats itself`() =
        checkLeaderChange(
            fdLimit = 10_000,
            OperatorSettings(heartbeatsPerCore = 1e6, idleKeepBoots = IDLE_KEEP_BOOTS),
        )

    private companion object {
        const val MACHINE_COUNT = 4_002
        /** Long enough that no machine is returned to the cloud as idle during the test. */
        const val IDLE_KEEP_BOOTS = 1_000.0
        val ZONES = listOf("a", "b", "c")

        /** Spot and ordinary machines in three zones. The capacity of each pool is rented whole. */
        const val MACHINE_POOL_COUNT = 6
    }
}
