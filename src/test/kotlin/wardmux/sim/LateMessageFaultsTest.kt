package wardmux.sim

import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.election.LeaderElection
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.scheduling.FairQueue

/**
 * Guards against delayed messages that undo newer decisions: writes that the key-value store
 * commits late, and cancellations at the moment when the last task of a job ends.
 */
class LateMessageFaultsTest {
    /** An array job without placement constraints. */
    private fun ClusterSimulation.arrayJob(
        tasks: Int,
        estimateS: Double,
        cpus: Double = 2.0,
        team: Int = 0,
    ) = unconstrainedJob(JobKind.ARRAY, "team-$team", tasks, cpus, estimateS)

    private fun ClusterSimulation.crashLeader(downtime: Micros) {
        leader()?.let { crash(it, downtime) }
    }

    private fun ClusterSimulation.assertNoViolations() =
        assertEquals(emptyList(), violations(), "violated invariants")

    // Transactions that the key-value store commits late.

    /**
     * Runs a simulation in which jobs are submitted and cancelled and two leaders and a machine
     * crash, while each write is, with [delayProbability], committed late and gets no answer.
     */
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
                "final state of ${job.id}",
            )
        }
        return simulation
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a delayed write of a leader is rejected after newer writes of the same leader`(
        seed: Long
    ) {
        val delayedWrites = runWithDelayedWrites(seed, 0.17).store.delayedTransactions
        val queueWrites = delayedWrites.filter { it.changesKeyUnder(FairQueue.KEY) }
        val overtaken = queueWrites.filter { it.overtakenByChangeUnder(FairQueue.KEY) }
        assertTrue(overtaken.isNotEmpty(), "no write was overtaken by a newer one of its sender")
        assertEquals(0, overtaken.count { it.committed }, "overtaken writes that were committed")
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13])
    fun `a delayed write of the leader key does not replace a leader`(seed: Long) {
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
        assertTrue(delayedWrites.isNotEmpty(), "no write of the leader key was delayed")
        assertEquals(
            0,
            delayedWrites.count { it.replacedExisting(LeaderElection.KEY) },
            "delayed writes that replaced a leader",
        )
        simulation.assertNoViolations()
        assertEquals("done", simulation.invariants.finalStateOf(job.id))
    }

    // Tasks of one job that end at different times.

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24, 25, 26])
    fun `tasks that end under different leaders are all counted, and none runs again`(seed: Long) {
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
                // The leader crashes before or after the end of the task is reported, stored, or
                // forgotten by the worker.
                clock.after(clock.randomBetween(Micros.ZERO, 6.seconds)) {
                    simulation.crashLeader(clock.randomBetween(300.milliseconds, 9.seconds))
                }
            }
        }
        simulation.run(160.seconds)
        assertTrue(leaderCrashes > 0, "no task ended before the last one, so no leader crashed")
        simulation.assertNoViolations()
        assertEquals("done", simulation.invariants.finalStateOf(job.id))
        assertEquals(job.tasks, simulation.invariants.starts, "each task must start once")
        assertEquals(
            0,
            simulation.invariants.startsOfDoneTasks,
            "completed tasks that were started again",
        )
    }

    // Requests of users at the end of the last task of a job, without other faults.

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33])
    fun `requests of users get consistent answers at the end of the last task of a job`(
        seed: Long
    ) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        // With a slow key-value store the end of a job is stored between the read and the write of
        // its cancellation.
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
        // Some cancellations come before the end of the job is stored, and some after it.
        assertEquals(setOf<String?>("done", "cancelled"), finalStates.toSet())
    }

    // A team that uses its whole quota.

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44])
    fun `a team stays within its quota when a new leader cannot reach some of its machines`(
        seed: Long
    ) {
        val simulation = ClusterSimulation(seed)
        val clock = simulation.clock
        // Each task takes a whole machine, and two of them exhaust the quota of the team. The
        // service runs until it is cancelled.
        val runningJob = simulation.arrayJob(2, 0.0, cpus = 16.0).copy(kind = JobKind.SERVICE)
        val waitingJob = simulation.arrayJob(2, 5.0, cpus = 16.0)
        clock.after(6.seconds) { simulation.submit(runningJob) }
        clock.after(20.seconds) { simulation.submit(waitingJob) }
        var partitionedWorkers = emptyList<FakeWorker>()
        val partitionWorkersAndCrashLeader = {
            partitionedWorkers =
                simulation.cloud.workers().filter { runningJob.id in it.heartbeatBody() }.take(2)
            assertEquals(2, partitionedWorkers.size, "workers that run the service")
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
            val quotaExhausted =
                simulation.invariants.starts == runningJob.tasks && clock.now > 30.seconds
            if (quotaExhausted && partitionedWorkers.isEmpty()) partitionWorkersAndCrashLeader()
        }
        simulation.run(200.seconds)
        assertEquals(2, partitionedWorkers.size, "workers partitioned when the leader crashed")
        simulation.assertNoViolations()
        assertEquals("cancelled", simulation.invariants.finalStateOf(runningJob.id))
        assertEquals("done", simulation.invariants.finalStateOf(waitingJob.id))
    }

    private companion object {
        /** Time of the simulation from which no write is delayed. */
        val FAULTS_END = 60.seconds
    }
}
