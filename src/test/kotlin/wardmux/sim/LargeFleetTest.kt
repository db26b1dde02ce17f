package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.milliseconds
import wardmux.model.seconds

/** Four thousand machines report to three controllers, through a change of leaders. */
class LargeFleetTest {
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
        // Something runs on every machine, so that none is given back.
        simulation.clock.after(2.seconds) { simulation.submit(longJob(simulation)) }
        simulation.run(50.seconds)
        val machinesBefore = simulation.cloud.workers().map { it.id }
        assertEquals(MACHINE_COUNT, machinesBefore.size)
        simulation.crash(simulation.leader()!!, downtime = 700.milliseconds)
        simulation.run(110.seconds)
        assertEquals(emptyList(), simulation.violations())
        assertEquals(machinesBefore, simulation.cloud.workers().map { it.id }, "some were given up")
        val workersWithNewSession = simulation.cloud.workers().count { it.sessions > 1 }
        assertEquals(0, workersWithNewSession, "leases ended")
        val workersWithLeaderToken =
            simulation.cloud.workers().count { it.hasToken(simulation.leaderToken()) }
        assertEquals(MACHINE_COUNT, workersWithLeaderToken, "machines that have found the leader")
        assertTrue(
            simulation.invariants.starts >= MACHINE_COUNT,
            "${simulation.invariants.starts} starts",
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
    fun `all are known and none is given up where all controllers take heartbeats`() =
        checkLeaderChange(fdLimit = 1_800, OperatorSettings(idleKeepBoots = IDLE_KEEP_BOOTS))

    @Test
    fun `all are known and none is given up where the leader takes all reports`() =
        checkLeaderChange(
            fdLimit = 10_000,
            OperatorSettings(heartbeatsPerCore = 1e6, idleKeepBoots = IDLE_KEEP_BOOTS),
        )

    private companion object {
        const val MACHINE_COUNT = 4_002
        /** None is returned as idle meanwhile. */
        const val IDLE_KEEP_BOOTS = 1_000.0
        val ZONES = listOf("a", "b", "c")

        /** Spot and ordinary machines in each zone; all are rented. */
        const val MACHINE_POOL_COUNT = 6
    }
}
