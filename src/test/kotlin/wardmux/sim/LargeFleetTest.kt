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
    private fun play(fdLimit: Int, operators: OperatorSettings) {
        val simulation =
            ClusterSimulation(
                seed = 7,
                operators = operators,
                startWithMachines = false,
                capacityPerZone = MACHINES / KINDS,
                fdLimit = fdLimit,
                teamCpuLimit = 64.0 * MACHINES,
            )
        repeat(MACHINES) {
            simulation.cloud.rent(ZONES[it % ZONES.size], spot = it % KINDS < ZONES.size)
        }
        // Something runs on every machine, so that none is given back.
        simulation.clock.after(2.seconds) { simulation.submit(longJob(simulation)) }
        simulation.run(50.seconds)
        val before = simulation.cloud.workers().map { it.id }
        assertEquals(MACHINES, before.size)
        simulation.crash(simulation.leader()!!, downtime = 700.milliseconds)
        simulation.run(110.seconds)
        assertEquals(emptyList(), simulation.violations())
        assertEquals(before, simulation.cloud.workers().map { it.id }, "some were given up")
        val sessions = simulation.cloud.workers().count { it.sessions > 1 }
        assertEquals(0, sessions, "leases ended")
        val known = simulation.cloud.workers().count { it.hasToken(simulation.leaderToken()) }
        assertEquals(MACHINES, known, "machines that have found the leader")
        assertTrue(
            simulation.invariants.starts >= MACHINES,
            "${simulation.invariants.starts} starts",
        )
    }

    private fun longJob(simulation: ClusterSimulation) =
        simulation
            .randomJob()
            .unconstrained()
            .copy(
                kind = JobKind.ARRAY,
                tasks = MACHINES,
                cpus = FakeWorker.CPUS,
                estimateS = 400.0,
                deadlineS = 800.0,
            )

    @Test
    fun `all are known and none is given up where all controllers take heartbeats`() =
        play(fdLimit = 1_800, OperatorSettings(idleKeepBoots = KEPT))

    @Test
    fun `all are known and none is given up where the leader takes all reports`() =
        play(fdLimit = 10_000, OperatorSettings(heartbeatsPerCore = 1e6, idleKeepBoots = KEPT))

    private companion object {
        const val MACHINES = 4_002
        /** None is returned as idle meanwhile. */
        const val KEPT = 1_000.0
        val ZONES = listOf("a", "b", "c")

        /** Spot and ordinary machines in each zone; all are rented. */
        const val KINDS = 6
    }
}
