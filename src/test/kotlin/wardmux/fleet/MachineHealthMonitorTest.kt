package wardmux.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.core.Outcome
import wardmux.model.seconds
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * Decommissioning of machines because of missing heartbeats or unanswered commands. Guards against
 * two failures: a machine that is lost or does not receive commands is kept, so that its tasks
 * never run elsewhere; and a task is started a second time while its first start may still be
 * carried out. Delayed duplicates of old heartbeats must count neither as signs of life nor as new
 * machines.
 */
class MachineHealthMonitorTest {
    private val harness = ControllerHarness()
    private val first = ManualWorker(harness, "i-000001")
    private val second = ManualWorker(harness, "i-000002")

    /** The number of requests to the provider to delete [machine]. */
    private fun deletionRequestCount(machine: String) =
        harness.cloudRequests.count { it.startsWith("/machines/delete") && machine in it }

    /** The number of direct commands that start [task]. */
    private fun directStartCount(task: String) =
        harness.directCommands.count { "\"start\"" in it && task in it }

    /**
     * Submits a job with one task, whose direct start to the first machine gets no response.
     * Returns the leader's fencing token.
     */
    private fun sendUnansweredStart(): Long {
        harness.run(2.seconds)
        val token = first.fetchLeaderToken()
        first.heartbeatResponse(token)
        harness.directCommandOutcome = Outcome.NoResponse
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        assertEquals(1, directStartCount("job-000001/0"), "direct starts of job-000001/0")
        return token
    }

    /** Sends a heartbeat without tasks from each machine every second for 20 s. */
    private fun sendHeartbeatsOfBoth(token: Long) =
        repeat(20) {
            first.sendHeartbeat(token)
            second.sendHeartbeat(token)
            harness.run(1.seconds)
        }

    @Test
    fun `a machine with an unanswered start gets no more, and only its deletion frees the task`() {
        val token = sendUnansweredStart()
        // The first machine still sends heartbeats, but none of them lists the task.
        repeat(3) {
            first.heartbeatResponse(token)
            second.heartbeatResponse(token)
            harness.run(1.seconds)
        }
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        sendHeartbeatsOfBoth(token)
        assertTrue(
            deletionRequestCount("i-000001") > 0,
            "expected i-000001, which commands do not reach, to be deleted; no deletion requested",
        )
        assertEquals(
            0,
            directStartCount(""""job-000001/0","try":2"""),
            "second attempt of job-000001/0 started while the first start may be carried out",
        )
        assertEquals(1, directStartCount("job-000002/0"), "direct starts of job-000002/0")
    }

    @Test
    fun `a machine with an unanswered start is deleted even if the stored state is loaded again`() {
        val token = sendUnansweredStart()
        // After a write by another process the leader no longer knows the stored state, so it loads
        // the state again.
        harness.write("tags", harness.storedValue("tags")!!)
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        sendHeartbeatsOfBoth(token)
        assertTrue(
            deletionRequestCount("i-000001") > 0,
            "expected i-000001, which commands do not reach, to be deleted; no deletion requested",
        )
    }

    @Test
    fun `duplicates of a heartbeat under an older token neither keep nor revive a machine`() {
        harness.run(2.seconds)
        harness.writeAcceptedJob(plainJob(1))
        // The same heartbeat under an older token arrives repeatedly. The leader knows nothing else
        // of the machine, which may have been deleted long ago.
        repeat(40) {
            first.sendHeartbeat(0, heartbeatTick = 7)
            harness.run(1.seconds)
        }
        assertEquals(
            0,
            directStartCount("job-000001/0"),
            "direct starts of job-000001/0 on a machine known only from duplicates",
        )
        assertTrue(
            deletionRequestCount("i-000001") > 0,
            "expected i-000001 to be deleted despite the duplicates; no deletion requested",
        )
    }

    @Test
    fun `duplicates of a heartbeat do not keep a silent machine from being decommissioned`() {
        harness.run(2.seconds)
        val token = first.fetchLeaderToken()
        first.heartbeatResponse(token)
        repeat(14) {
            harness.run(1.seconds)
            first.sendHeartbeat(token, heartbeatTick = 1)
        }
        assertTrue(
            deletionRequestCount("i-000001") > 0,
            "expected silent i-000001 to be deleted despite duplicates; no deletion requested",
        )
    }

    @Test
    fun `a silent machine that answers no probe is decommissioned earlier than without a probe`() {
        harness.run(2.seconds)
        val token = first.fetchLeaderToken()
        repeat(2) {
            first.heartbeatResponse(token)
            harness.run(0.5.seconds)
        }
        // The heartbeat period is 2.5 s. A silent machine is probed after 3.75 s. It is
        // decommissioned after 8 s if the probe fails, otherwise after 10 s.
        harness.run(7.seconds)
        assertEquals(0, deletionRequestCount("i-000001"), "deletions of i-000001 before 8 s")
        harness.run(2.seconds)
        assertTrue(
            deletionRequestCount("i-000001") > 0,
            "expected i-000001 to be deleted after 8 s; no deletion requested",
        )
    }

    /**
     * While a leader may not renew leases, it still receives heartbeats, and a worker may start a
     * new incarnation. If the lease of the new incarnation counted from the last renewal before it,
     * the lease would count as expired at once, and the task would be started a second time on
     * another machine.
     */
    @Test
    fun `the lease of an incarnation without a renewal counts from the start of the incarnation`() {
        val harness = ControllerHarness(peers = listOf("n1"))
        val first = ManualWorker(harness, "i-000001")
        val second = ManualWorker(harness, "i-000002")
        harness.run(2.seconds)
        val token = first.fetchLeaderToken()
        first.heartbeatResponse(token)
        harness.startStoreOutage()
        repeat(40) {
            harness.run(1.seconds)
            first.sendHeartbeat(token)
        }
        first.incarnation = 3
        first.sendHeartbeat(token)
        second.sendHeartbeat(token)
        val runningTask = """{"piece":"job-000001/0","try":1,"status":"running"}"""
        val heartbeatOfNewIncarnation =
            """{"box":"i-000001","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"a","shift":3,""" +
                """"tick":900,"baton":$token,"pieces":[$runningTask]}"""
        harness.directCommandOutcome =
            Outcome.Response(200, heartbeatOfNewIncarnation.encodeToByteArray())
        harness.endStoreOutage()
        harness.writeAcceptedJob(plainJob(1))
        val directStarts = {
            harness.directCommands.count { "\"start\"" in it && "job-000001/0" in it }
        }
        harness.run(3.seconds)
        assertEquals(0, directStarts(), "direct starts of job-000001/0 while no lease is renewed")
        first.sendHeartbeat(token)
        harness.run(3.seconds)
        assertEquals(1, directStarts(), "direct starts of job-000001/0 after a renewal")
    }

    /** Starts [job], a job of one task, and returns its task as its machine lists it. */
    private fun startTask(job: String): String {
        harness.writeAcceptedJob(plainJob(1, job))
        harness.run(1.seconds)
        assertEquals(1, directStartCount("$job/0"), "direct starts of $job/0")
        return """{"piece":"$job/0","try":1,"status":"running"}"""
    }

    /** The number of commands that start the second attempt of the only task of [job]. */
    private fun secondStartCount(job: String) = directStartCount(""""$job/0","try":2""")

    /**
     * Guards against a second run of a task while a machine hangs: the machine executes nothing, so
     * the end of its lease does not end its tasks. While the stored state is loaded no machine is
     * checked, so the first check finds a lease that is over already.
     */
    @Test
    fun `a task of a machine that hangs beyond its lease during a load waits for its deletion`() {
        harness.run(2.seconds)
        val token = first.fetchLeaderToken()
        first.heartbeatResponse(token)
        harness.directCommandOutcome = Outcome.Response(200, "{}".encodeToByteArray())
        val task = startTask("job-000001")
        first.heartbeatResponse(token, task)
        second.heartbeatResponse(token)
        harness.write("tags", harness.storedValue("tags")!!)
        harness.refusesStoreRequest = { it.startsWith("/keys") }
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        val runSecond = { seconds: Int ->
            repeat(seconds) {
                second.sendHeartbeat(token)
                harness.run(1.seconds)
            }
        }
        runSecond(20)
        harness.refusesStoreRequest = { false }
        runSecond(10)
        assertEquals(1, directStartCount("job-000002/0"), "direct starts after the load")
        assertEquals(0, secondStartCount("job-000001"), "starts while the machine may hang")
        assertTrue(deletionRequestCount("i-000001") > 0, "expected the deletion of i-000001")
    }

    /**
     * Guards against the same failure where too many machines are silent for a fault of their own,
     * so that they are kept at first: three of six, and all of four.
     */
    @ParameterizedTest
    @ValueSource(ints = [4, 6])
    fun `tasks of many machines that hang beyond their leases wait for their deletion`(count: Int) {
        val machines = List(count) { ManualWorker(harness, "i-00000${it + 1}") }
        harness.run(2.seconds)
        val token = machines[0].fetchLeaderToken()
        harness.directCommandOutcome = Outcome.Response(200, "{}".encodeToByteArray())
        val hanging = machines.take(HANGING_MACHINES)
        val tasks =
            hanging.mapIndexed { index, machine ->
                // Each task starts on the only machine that is known and not full by then.
                machine.heartbeatResponse(token)
                harness.writeAcceptedJob(plainJob(1, "job-00000$index").copy(cpus = 16.0))
                harness.run(1.seconds)
                """{"piece":"job-00000$index/0","try":1,"status":"running"}"""
            }
        for ((machine, task) in hanging zip tasks) machine.heartbeatResponse(token, task)
        val others = machines.drop(HANGING_MACHINES)
        for (machine in others) machine.heartbeatResponse(token)
        val responsive = if (count > 4) others else emptyList()
        repeat(60) {
            for (machine in responsive) machine.sendHeartbeat(token)
            harness.run(1.seconds)
        }
        val secondStarts = hanging.indices.sumOf { secondStartCount("job-00000$it") }
        assertEquals(0, secondStarts, "starts while the machines may hang")
        if (responsive.isNotEmpty()) {
            val deleted = (1..HANGING_MACHINES).count { deletionRequestCount("i-00000$it") > 0 }
            assertEquals(HANGING_MACHINES, deleted, "deleted machines")
        }
    }

    private companion object {
        const val HANGING_MACHINES = 3
    }
}
