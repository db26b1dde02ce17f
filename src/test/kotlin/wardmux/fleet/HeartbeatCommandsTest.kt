package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/** What the response to a heartbeat tells a machine to do. */
class HeartbeatCommandsTest {
    private val harness = ControllerHarness()
    private val machine = ManualWorker(harness, "i-000001")

    @Test
    fun `an attempt that was stopped is not forgotten while a copy of its start may come`() {
        harness.accept(plainJob(1))
        harness.run(2.seconds)
        val token = machine.token()
        machine.handleHeartbeat(token)
        harness.run(1.seconds)
        val stopped = """{"piece":"job-000001/0","try":1,"status":"ended","cause":"stopped"}"""
        val secondAttempt = """{"piece":"job-000001/0","try":2,"status":"running"}"""
        val responses =
            List(170) {
                harness.run(1.seconds)
                machine.handleHeartbeat(token, "$stopped,$secondAttempt")
            }
        assertTrue(responses.take(150).none { "forget" in it })
        assertContains(responses.drop(150).joinToString(), "forget")
    }
}
