package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.StoreLimits
import wardmux.config.TeamQuota
import wardmux.model.seconds

/**
 * Guards against slow recovery after the loss of many machines. The tasks of a decommissioned
 * machine are free to run elsewhere only once its decommissioning is stored. When a zone was lost,
 * storing 181 of these records took 45 s, because each write held only one of them and was filled
 * up with new placements.
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

    /** The number of the first [machineCount] machines whose decommissioning is stored. */
    private fun recordedDecommissions(machineCount: Int) =
        (0 until machineCount).count { harness.storedValue("m/i-%06d".format(it)) != null }

    @Test
    fun `the records of many decommissioned machines do not wait behind new placements`() {
        harness.run(2.seconds)
        val token = workers.first().fetchLeaderToken()
        for (worker in workers) worker.sendHeartbeat(token)
        // The first machines send no more heartbeats. Later there are more tasks to place than the
        // limits of the key-value store allow to write.
        var round = 0
        while (recordedDecommissions(LOST_MACHINE_COUNT) == 0) {
            assertTrue(++round < MAX_ROUNDS, "no decommissioning was stored in $MAX_ROUNDS rounds")
            if (round == SUBMISSION_ROUND)
                repeat(JOB_COUNT) { harness.writeAcceptedJob(plainJob(1, "job-%06d".format(it))) }
            for (worker in workers.drop(LOST_MACHINE_COUNT)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        repeat(ROUNDS_TO_RECORD) {
            for (worker in workers.drop(LOST_MACHINE_COUNT)) worker.sendHeartbeat(token)
            harness.run(0.5.seconds)
        }
        assertEquals(
            LOST_MACHINE_COUNT,
            recordedDecommissions(LOST_MACHINE_COUNT),
            "stored decommissionings",
        )
        val placedJobs =
            (0 until JOB_COUNT).count { harness.storedValue("t/job-%06d/0".format(it)) != null }
        assertTrue(
            placedJobs in 1 until JOB_COUNT,
            "some but not all of $JOB_COUNT jobs should be placed, but $placedJobs are",
        )
    }

    private companion object {
        const val MACHINE_COUNT = 150
        const val LOST_MACHINE_COUNT = 24

        /** More than can be placed while the machines are decommissioned. */
        const val JOB_COUNT = 900

        /** Round of 0.5 s in which the jobs are submitted. */
        const val SUBMISSION_ROUND = 12

        /** Rounds of 0.5 s before which the first decommissioning must be stored. */
        const val MAX_ROUNDS = 60

        /** Rounds of 0.5 s in which the remaining decommissionings must be stored. */
        const val ROUNDS_TO_RECORD = 6
    }
}
