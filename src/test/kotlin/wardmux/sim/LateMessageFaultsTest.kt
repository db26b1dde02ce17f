package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.core.ListenerKind
import wardmux.election.LeaderElection
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.FullHeartbeat
import wardmux.forwarding.HeartbeatBatch
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.scheduling.FairQueue

/** What comes late meets what was decided since: writes, reports, ends of tasks, cancellations. */
class LateMessageFaultsTest {
    /** Array jobs that any machine takes, one like the other. */
    private fun ClusterSimulation.arrayJob(
        tasks: Int,
        estimateS: Double,
        cpus: Double = 2.0,
        team: Int = 0,
    ) = unconstrainedJob(JobKind.ARRAY, "team-$team", tasks, cpus, estimateS)

    private fun ClusterSimulation.crashLeader(downtime: Micros) {
        leader()?.let { crash(it, downtime) }
    }

    private fun ClusterSimulation.assertNoViolations() = assertEquals(emptyList(), violations())

    // Transactions that are carried out late.

    /** Jobs are sent, cancelled and done, leaders end, and every sixth write gets no answer. */
    private fun runWithDelayedWrites(seed: Long, delayProbability: Double): ClusterSimulation {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        simulation.store.isDelayed = { _, transaction ->
            clock.now < FAULTS_END && "then" in transaction && clock.chance(delayProbability)
        }
        val jobs = ArrayList<JobSpec>()
        for (second in 4..48 step 4) {
            clock.after(second.seconds) {
                val job = simulation.arrayJob(3 + second % 4, 4.0, team = second % 3)
                jobs.add(job)
                simulation.submit(job)
                if (second % 8 == 0) {
                    clock.after(clock.randomBetween(1.seconds, 9.seconds)) {
                        simulation.cancel(job.id)
                    }
                }
            }
        }
        clock.after(24.seconds) { simulation.crashLeader(2.seconds) }
        clock.after(32.seconds) {
            simulation.cloud.workers().firstOrNull()?.let { simulation.cloud.crash(it) }
        }
        clock.after(44.seconds) { simulation.crashLeader(300.milliseconds) }
        simulation.run(FAULTS_END + 160.seconds)
        simulation.assertNoViolations()
        for (job in jobs) {
            assertContains(
                listOf("done", "cancelled"),
                simulation.invariants.finalStateOf(job.id),
                job.id,
            )
        }
        return simulation
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a late write of a leader changes nothing after its newer ones`(seed: Long) {
        val delayedWrites = runWithDelayedWrites(seed, 0.17).store.delayedTransactions
        val queueWrites = delayedWrites.filter { it.changesKeyUnder(FairQueue.KEY) }
        val overtaken = queueWrites.filter { it.overtakenByChangeUnder(FairQueue.KEY) }
        assertTrue(overtaken.isNotEmpty(), "the meeting did not come about")
        assertEquals(0, overtaken.count { it.committed })
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13])
    fun `writes of leader keys that are carried out late leave one leader`(seed: Long) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        val leaderKeyWrite = "\"put\":\"${LeaderElection.KEY}\""
        simulation.store.isDelayed = { _, transaction ->
            clock.now < FAULTS_END && leaderKeyWrite in transaction.toString() && clock.chance(0.6)
        }
        val job = simulation.arrayJob(12, 6.0)
        clock.after(6.seconds) { simulation.submit(job) }
        for (second in 10..50 step 10) clock.after(second.seconds) {
            simulation.crashLeader(400.milliseconds)
        }
        simulation.run(FAULTS_END + 100.seconds)
        val delayedWrites =
            simulation.store.delayedTransactions.filter { it.changesKeyUnder(LeaderElection.KEY) }
        assertTrue(delayedWrites.isNotEmpty(), "the meeting did not come about")
        assertEquals(0, delayedWrites.count { it.replacedExisting(LeaderElection.KEY) })
        simulation.assertNoViolations()
        assertEquals("done", simulation.invariants.finalStateOf(job.id))
    }

    // Tasks that end far apart.

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24, 25, 26])
    fun `ends far apart across changes of leader are all counted, and nothing runs again`(
        seed: Long
    ) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        val job = simulation.arrayJob(2 + (seed % 2).toInt(), 60.0)
        clock.after(5.seconds) { simulation.submit(job) }
        var completionsSeen = 0
        var leaderCrashes = 0
        clock.every(50.milliseconds) {
            if (
                simulation.invariants.completedTaskCount(job.id) > completionsSeen &&
                    completionsSeen + 1 < job.tasks
            ) {
                completionsSeen++
                leaderCrashes++
                // Before or after the end is reported, written or forgotten.
                clock.after(clock.randomBetween(Micros.ZERO, 6.seconds)) {
                    simulation.crashLeader(clock.randomBetween(300.milliseconds, 9.seconds))
                }
            }
        }
        simulation.run(160.seconds)
        assertTrue(leaderCrashes > 0)
        simulation.assertNoViolations()
        assertEquals("done", simulation.invariants.finalStateOf(job.id))
        assertEquals(job.tasks, simulation.invariants.starts, "something ran again")
        assertEquals(0, simulation.invariants.startsOfDoneTasks, "something done was started again")
    }

    // The end of a job's last task, with no other trouble.

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33])
    fun `a cancellation, a question and a repeat at the end of the last task agree`(seed: Long) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        // As it is at times: so the end is recorded between a cancellation's read and its write.
        simulation.network.extraLatency["state"] = 150.milliseconds
        val jobs = List(24) { simulation.arrayJob(1 + it % 2, 4.0, team = it % 3) }
        val endedJobs = HashSet<String>()
        for ((i, job) in jobs.withIndex()) {
            clock.after(5.seconds + 1.seconds * (i / 2).toDouble()) { simulation.submit(job) }
        }
        clock.every(20.milliseconds) {
            for (job in jobs) {
                if (
                    simulation.invariants.completedTaskCount(job.id) < job.tasks ||
                        !endedJobs.add(job.id)
                )
                    continue
                val afterRandomDelay = { action: () -> Unit ->
                    clock.after(clock.randomBetween(Micros.ZERO, 800.milliseconds), action)
                }
                afterRandomDelay { simulation.cancel(job.id) }
                afterRandomDelay { simulation.poll(job.id) }
                afterRandomDelay { simulation.submit(job) }
            }
        }
        simulation.run(90.seconds)
        simulation.assertNoViolations()
        val finalStates = jobs.map { simulation.invariants.finalStateOf(it.id) }
        // On both sides of the end's record.
        assertEquals(setOf<String?>("done", "cancelled"), finalStates.toSet())
    }

    // A team at its limit.

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44])
    fun `a team at its limit stays within it where machines can't be asked at a failover`(
        seed: Long
    ) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        // Two whole machines: no third task is within the team's limit. A service runs on and on.
        val runningJob = simulation.arrayJob(2, 0.0, cpus = 16.0).copy(kind = JobKind.SERVICE)
        val waitingJob = simulation.arrayJob(2, 5.0, cpus = 16.0)
        clock.after(6.seconds) { simulation.submit(runningJob) }
        clock.after(20.seconds) { simulation.submit(waitingJob) }
        var partitionedWorkers = emptyList<FakeWorker>()
        val partitionWorkersAndCrashLeader = {
            partitionedWorkers =
                simulation.cloud.workers().filter { runningJob.id in it.heartbeatBody() }.take(2)
            assertEquals(2, partitionedWorkers.size)
            for (worker in partitionedWorkers) simulation.network.isolate(worker.id)
            simulation.crashLeader(3.seconds)
            clock.after(clock.randomBetween(100.milliseconds, 6.seconds)) {
                simulation.cancel(runningJob.id)
            }
            clock.after(clock.randomBetween(8.seconds, 34.seconds)) {
                for (worker in partitionedWorkers) simulation.network.reconnect(worker.id)
            }
        }
        clock.every(1.seconds) {
            val atLimit = simulation.invariants.starts == runningJob.tasks && clock.now > 30.seconds
            if (atLimit && partitionedWorkers.isEmpty()) partitionWorkersAndCrashLeader()
        }
        simulation.run(200.seconds)
        assertEquals(2, partitionedWorkers.size, "the meeting did not come about")
        simulation.assertNoViolations()
        assertEquals("cancelled", simulation.invariants.finalStateOf(runningJob.id))
        assertEquals("done", simulation.invariants.finalStateOf(waitingJob.id))
    }

    // Heartbeats that arrive late.

    private val harness = ControllerHarness()

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

    /** Empty machines report, with time for all that could start there to start. */
    private fun ControllerHarness.startsOnOtherWorkers(token: Long): String {
        val others = List(2) { ManualWorker(this, "i-00005$it") }
        val answers = StringBuilder()
        repeat(6) {
            for (other in others) answers.append(other.heartbeatResponse(token))
            run(0.5.seconds)
        }
        return directCommands.joinToString() + answers
    }

    @Test
    fun `a report held until a new leader acts frees nothing there, whatever it lacks or says`() {
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
                "freed by [$heldTaskReport]",
            )
            // The machine itself, under the new token, still has it.
            val answer = harness.sendHeartbeat("i-000001", 1, 9, token, taskReport("running"))
            assertFalse("halt" in answer, "given up after [$heldTaskReport]")
        }
    }

    @Test
    fun `a held report of a task that is done counts, also at a new leader`() {
        harness.writeAcceptedJob(plainJob(1))
        writePlacement(harness, "i-000001")
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        harness.sendHeartbeat("i-000001", 1, 5, token - 1, taskReport("ended", cause = "done"))
        harness.run(2.seconds)
        assertContains(harness.storedValue(JobRecord.key(plainJob(1).jobId)).toString(), "done")
    }

    @Test
    fun `a report older than the last frees nothing, also from an earlier session or attempt`() {
        val stopped = taskReport("ended", cause = "stopped")
        val staleHeartbeats =
            listOf(
                // As of the same incarnation, before the task came.
                Triple(2, 3, ""),
                // From the incarnation before, with higher ticks.
                Triple(1, 90, ""),
                Triple(1, 90, taskReport("ended", attempt = 2, cause = "error")),
                // An earlier attempt's end, in a newer report.
                Triple(2, 12, stopped + "," + taskReport("running", attempt = 2)),
            )
        for ((incarnation, tick, tasks) in staleHeartbeats) {
            val harness = ControllerHarness()
            harness.writeAcceptedJob(plainJob(1))
            writePlacement(harness, "i-000001", attempt = 2, incarnation = 2)
            harness.run(2.seconds)
            val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
            harness.sendHeartbeat("i-000001", 2, 10, token, taskReport("running", attempt = 2))
            harness.sendHeartbeat("i-000001", incarnation, tick, token, tasks)
            assertFalse(
                "job-000001/0" in harness.startsOnOtherWorkers(token),
                "$incarnation $tick $tasks",
            )
            val answer =
                harness.sendHeartbeat("i-000001", 2, 20, token, taskReport("running", attempt = 2))
            assertFalse("halt" in answer, "$incarnation $tick $tasks")
        }
    }

    @Test
    fun `a report older than the last frees nothing when it comes through a forwarder`() {
        for ((incarnation, tick) in listOf(2 to 3L, 1 to 90L)) {
            val harness = ControllerHarness(listOf("n1"))
            harness.writeAcceptedJob(plainJob(1))
            writePlacement(harness, "i-000001", attempt = 2, incarnation = 2)
            harness.run(2.seconds)
            val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
            harness.sendHeartbeat("i-000001", 2, 10, token, taskReport("running", attempt = 2))
            val staleHeartbeat =
                FullHeartbeat(1, heartbeatBody("i-000001", incarnation, tick.toInt(), token))
            // Whole, and then as a sign of life that is older still than the last.
            for (lifeSign in listOf(null, tick + 1)) {
                val reports = if (lifeSign == null) listOf(staleHeartbeat) else emptyList()
                val signs =
                    if (lifeSign == null) emptyList() else listOf(staleHeartbeat.number, lifeSign)
                val batch = HeartbeatBatch("n1", "b", 1, token, 0, 0, reports, signs)
                val answer =
                    harness.call("POST", "/relay", ForwardingCodec.encode(batch), ListenerKind.PEER)
                assertEquals(200, answer?.first)
            }
            assertFalse(
                "job-000001/0" in harness.startsOnOtherWorkers(token),
                "session $incarnation",
            )
            val answer =
                harness.sendHeartbeat("i-000001", 2, 20, token, taskReport("running", attempt = 2))
            assertFalse("halt" in answer, "session $incarnation")
        }
    }

    @Test
    fun `a machine that a new leader hears of by an old report alone gets no work`() {
        harness.writeAcceptedJob(plainJob(1))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        harness.directCommands.clear()
        // It is gone; this was on its way since before the change of leader.
        repeat(4) {
            val answer = harness.sendHeartbeat("i-000007", 1, 5 + it, token - 1)
            assertFalse("start" in answer)
            harness.run(0.5.seconds)
        }
        assertEquals(emptyList(), harness.directCommands.filter { "job-000001/0" in it })
        assertContains(harness.startsOnOtherWorkers(token), "job-000001/0")
    }

    private companion object {
        val FAULTS_END = 60.seconds
    }
}
