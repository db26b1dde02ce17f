package wardmux.leader

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlinx.serialization.json.Json
import wardmux.core.ListenerKind
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.FullHeartbeat
import wardmux.forwarding.HeartbeatBatch
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * Guards against heartbeats that arrive at a controller after newer ones, or after a change of
 * leader, and undo what was decided since.
 */
class LateHeartbeatTest {
    private val harness = ControllerHarness()

    /** Stores that task 0 of `job-000001` is placed on [machine]. */
    private fun writePlacement(
        harness: ControllerHarness,
        machine: String,
        attempt: Int = 1,
        incarnation: Int = 1,
    ) =
        harness.write(
            "t/job-000001/0",
            Json.parseToJsonElement(
                """{"c":[1],"w":[1.0],"z":["a"],"m":["$machine"],""" +
                    """"n":[$incarnation,0,1,0,$attempt,0]}"""
            ),
        )

    /** The entry of task 0 of `job-000001` in a heartbeat. */
    private fun taskReport(status: String, attempt: Int = 1, cause: String? = null): String {
        val causeField = if (cause == null) "" else ""","cause":"$cause""""
        return """{"piece":"job-000001/0","try":$attempt,"status":"$status"$causeField}"""
    }

    private fun heartbeatBody(
        machine: String,
        incarnation: Int,
        tick: Int,
        token: Long,
        tasks: String = "",
    ) =
        ("""{"box":"$machine","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a",""" +
                """"loaners":false,"shift":$incarnation,"tick":$tick,"baton":$token,""" +
                """"pieces":[$tasks]}""")
            .encodeToByteArray()

    private fun ControllerHarness.sendHeartbeat(
        machine: String,
        incarnation: Int,
        tick: Int,
        token: Long,
        tasks: String = "",
    ): String =
        call("POST", "/hello", heartbeatBody(machine, incarnation, tick, token, tasks))!!.second

    /**
     * The direct commands, and the responses to two workers without tasks that send heartbeats for
     * 3 s, which is time enough to start every task there that is free to start.
     */
    private fun ControllerHarness.startsOnOtherWorkers(token: Long): String {
        val others = List(2) { ManualWorker(this, "i-00005$it") }
        val answers = StringBuilder()
        repeat(6) {
            for (other in others) answers.append(other.heartbeatResponse(token))
            run(0.5.seconds)
        }
        return directCommands.joinToString() + answers
    }

    /**
     * Lets the second incarnation of a machine report the second attempt of the task as running.
     * Returns the leader's token.
     */
    private fun ControllerHarness.runTaskOnSecondAttempt(): Long {
        writeAcceptedJob(plainJob(1))
        writePlacement(this, "i-000001", attempt = 2, incarnation = 2)
        run(2.seconds)
        val token = ManualWorker(this, "i-000099").fetchLeaderToken()
        sendHeartbeat("i-000001", 2, 10, token, taskReport("running", attempt = 2))
        return token
    }

    /**
     * Checks that the second attempt is neither started elsewhere nor stopped [after] something.
     */
    private fun ControllerHarness.assertTaskGoesOn(token: Long, after: String) {
        assertFalse("job-000001/0" in startsOnOtherWorkers(token), "started elsewhere after $after")
        val answer = sendHeartbeat("i-000001", 2, 20, token, taskReport("running", attempt = 2))
        assertFalse("halt" in answer, "stopped after $after")
    }

    @Test
    fun `a heartbeat delayed until a new leader acts frees no task, whatever it reports`() {
        for (heldTaskReport in
            listOf("", taskReport("ended", cause = "error"), taskReport("ended", cause = "full"))) {
            val harness = ControllerHarness()
            harness.writeAcceptedJob(plainJob(1))
            writePlacement(harness, "i-000001")
            harness.run(2.seconds)
            val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
            harness.sendHeartbeat("i-000001", 1, 5, token - 1, heldTaskReport)
            assertFalse(
                "job-000001/0" in harness.startsOnOtherWorkers(token),
                "the task was started elsewhere after the delayed heartbeat [$heldTaskReport]",
            )
            // A heartbeat with the new token shows that the machine still runs the task.
            val answer = harness.sendHeartbeat("i-000001", 1, 9, token, taskReport("running"))
            assertFalse(
                "halt" in answer,
                "the task was stopped after the delayed heartbeat [$heldTaskReport]",
            )
        }
    }

    @Test
    fun `a delayed heartbeat that reports a completed task counts at a new leader too`() {
        harness.writeAcceptedJob(plainJob(1))
        writePlacement(harness, "i-000001")
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        harness.sendHeartbeat("i-000001", 1, 5, token - 1, taskReport("ended", cause = "done"))
        harness.run(2.seconds)
        assertContains(harness.storedValue(JobRecord.key(plainJob(1).jobId)).toString(), "done")
    }

    @Test
    fun `an outdated heartbeat, incarnation or attempt does not free a task`() {
        val stopped = taskReport("ended", cause = "stopped")
        val staleHeartbeats =
            listOf(
                // The same incarnation, before the task was placed there.
                Triple(2, 3, ""),
                // The previous incarnation, with higher sequence numbers.
                Triple(1, 90, ""),
                Triple(1, 90, taskReport("ended", attempt = 2, cause = "error")),
                // A newer heartbeat that also reports the end of an earlier attempt.
                Triple(2, 12, stopped + "," + taskReport("running", attempt = 2)),
            )
        for ((incarnation, tick, tasks) in staleHeartbeats) {
            val harness = ControllerHarness()
            val token = harness.runTaskOnSecondAttempt()
            harness.sendHeartbeat("i-000001", incarnation, tick, token, tasks)
            harness.assertTaskGoesOn(token, "heartbeat $tick of incarnation $incarnation: $tasks")
        }
    }

    @Test
    fun `an outdated heartbeat from a forwarder does not free a task`() {
        for ((incarnation, tick) in listOf(2 to 3L, 1 to 90L)) {
            val harness = ControllerHarness(listOf("n1"))
            val token = harness.runTaskOnSecondAttempt()
            val staleHeartbeat =
                FullHeartbeat(1, heartbeatBody("i-000001", incarnation, tick.toInt(), token))
            // First the whole heartbeat, and then only a sign of life for the next sequence number,
            // which is still older than the last heartbeat.
            for (lifeSign in listOf(null, tick + 1)) {
                val reports = if (lifeSign == null) listOf(staleHeartbeat) else emptyList()
                val signs =
                    if (lifeSign == null) emptyList() else listOf(staleHeartbeat.number, lifeSign)
                val batch = HeartbeatBatch("n1", "b", 1, token, 0, 0, reports, signs)
                val answer =
                    harness.call("POST", "/relay", ForwardingCodec.encode(batch), ListenerKind.PEER)
                assertEquals(200, answer?.first)
            }
            harness.assertTaskGoesOn(token, "heartbeat $tick of incarnation $incarnation")
        }
    }

    @Test
    fun `a new leader places no task on a machine known only from heartbeats with an old token`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        harness.directCommands.clear()
        // The machine is gone. Its heartbeats were sent before the change of leader.
        repeat(4) {
            val answer = harness.sendHeartbeat("i-000007", 1, 5 + it, token - 1)
            assertFalse("start" in answer, "a command to start a task was sent: $answer")
            harness.run(0.5.seconds)
        }
        assertEquals(
            emptyList(),
            harness.directCommands.filter { "job-000001/0" in it },
            "direct commands for the task",
        )
        assertContains(harness.startsOnOtherWorkers(token), "job-000001/0")
    }
}
