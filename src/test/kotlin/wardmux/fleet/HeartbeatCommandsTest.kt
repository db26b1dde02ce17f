package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * Commands in the response to a heartbeat. A duplicate of a direct start that is delivered late
 * starts an attempt again if the machine has forgotten that it ended. The attempt then runs in
 * parallel with the task's next attempt, so a stopped attempt must be remembered long enough.
 */
class HeartbeatCommandsTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `a stopped attempt is not forgotten while a duplicate of its start may be delivered`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = machine.fetchLeaderToken()
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        val stopped = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
        val secondAttempt = """{"piece":"job-000001/0","try":2,"status":"running"}"""
        val responses =
            List(170) {
                harness.run(1.seconds)
                machine.heartbeatResponse(token, "$stopped,$secondAttempt")
            }
        assertTrue(
            responses.take(150).none { "forget" in it },
            "expected no forget command in the first 150 responses, one a second: $responses",
        )
        assertContains(
            responses.drop(150).joinToString(),
            "forget",
            message = "expected a forget command after 150 responses, one a second",
        )
    }
}
