package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.StoreLimits
import wardmux.config.TeamQuota
import wardmux.model.seconds

/**
 * A machine decommissioned frees its tasks only once that is recorded. When a zone was lost, the
 * records of 181 machines took 45 s, one in each write, while all else in the writes was new
 * placements.
 */
class ManyLostMachinesTest {
    private val harness =
        ControllerHarness(
            platform =
                ControllerHarness.SETTINGS.copy(
                    deployment =
                        ControllerHarness.SETTINGS.deployment.copy(
                            teams = listOf(TeamQuota("team-0", 700.0, 12_000.0)),
                            state = StoreLimits(400.0, 40.0, 16.0, 32),
                        )
                )
        )
    private val workers = List(MACHINES) { ManualWorker(harness, "i-%06d".format(it)) }

    private fun recorded(lost: Int) =
        (0 until lost).count { harness.storedValue("m/i-%06d".format(it)) != null }

    @Test
    fun `the records of many lost machines do not wait behind all that can be placed`() {
        harness.run(2.seconds)
        val token = workers.first().fetchLeaderToken()
        for (worker in workers) worker.sendHeartbeat(token)
        // All but the first of them go on reporting; then there is more to place than can be
        // written.
        var at = 0
        while (recorded(LOST) == 0) {
            assertTrue(++at < MOST_ROUNDS, "no machine was given up")
            if (at == JOBS_AT)
                repeat(JOBS) { harness.writeAcceptedJob(plainJob(1, "job-%06d".format(it))) }
            for (worker in workers.drop(LOST)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        repeat(ROUNDS_TO_RECORD) {
            for (worker in workers.drop(LOST)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        assertEquals(LOST, recorded(LOST))
        val placed = (0 until JOBS).count { harness.storedValue("t/job-%06d/0".format(it)) != null }
        assertTrue(placed in 1 until JOBS, "$placed jobs placed")
    }

    private companion object {
        const val MACHINES = 150
        const val LOST = 24
        const val JOBS = 900
        const val JOBS_AT = 12
        const val MOST_ROUNDS = 60
        const val ROUNDS_TO_RECORD = 6
    }
}
