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
    private val workers = List(MACHINE_COUNT) { ManualWorker(harness, "i-%06d".format(it)) }

    private fun recordedDecommissions(machineCount: Int) =
        (0 until machineCount).count { harness.storedValue("m/i-%06d".format(it)) != null }

    @Test
    fun `the records of many lost machines do not wait behind all that can be placed`() {
        harness.run(2.seconds)
        val token = workers.first().fetchLeaderToken()
        for (worker in workers) worker.sendHeartbeat(token)
        // All but the first of them go on reporting; then there is more to place than can be
        // written.
        var round = 0
        while (recordedDecommissions(LOST_MACHINE_COUNT) == 0) {
            assertTrue(++round < MAX_ROUNDS, "no machine was given up")
            if (round == SUBMISSION_ROUND)
                repeat(JOB_COUNT) { harness.writeAcceptedJob(plainJob(1, "job-%06d".format(it))) }
            for (worker in workers.drop(LOST_MACHINE_COUNT)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        repeat(ROUNDS_TO_RECORD) {
            for (worker in workers.drop(LOST_MACHINE_COUNT)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        assertEquals(LOST_MACHINE_COUNT, recordedDecommissions(LOST_MACHINE_COUNT))
        val placedJobs =
            (0 until JOB_COUNT).count { harness.storedValue("t/job-%06d/0".format(it)) != null }
        assertTrue(placedJobs in 1 until JOB_COUNT, "$placedJobs jobs placed")
    }

    private companion object {
        const val MACHINE_COUNT = 150
        const val LOST_MACHINE_COUNT = 24
        const val JOB_COUNT = 900
        const val SUBMISSION_ROUND = 12
        const val MAX_ROUNDS = 60
        const val ROUNDS_TO_RECORD = 6
    }
}
