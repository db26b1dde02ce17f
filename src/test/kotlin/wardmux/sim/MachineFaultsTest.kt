package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against violated invariants and unfinished jobs when machines fail together with something
 * else: lost heartbeats, unresponsive machines, partitions or crashed machines, combined with
 * cancellations, crashes of the leader or bursts of new jobs.
 */
class MachineFaultsTest {
    private class MachineFaultScenario(seed: Long) {
        // With odd seeds all controllers take heartbeats, with even ones the leader alone does.
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(seed % 2 != 0L))
        val clock = simulation.clock

        /** Runs [action] at the simulated [time]. */
        fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

        /**
         * A job of which each task takes most of a machine. It is a service, which runs until it is
         * cancelled, unless [estimateS], the duration of a task in seconds, is above 0.
         */
        fun largeTaskJob(
            team: Int,
            tasks: Int,
            estimateS: Double = 0.0,
            oneZone: Boolean = false,
        ): JobSpec =
            simulation
                .unconstrainedJob(
                    if (estimateS > 0) JobKind.ARRAY else JobKind.SERVICE,
                    "team-$team",
                    tasks,
                    cpus = 9.0,
                    estimateS = estimateS,
                )
                .copy(oneZone = oneZone)

        /** An array job of which each task takes 2 CPUs for 6 s. */
        fun shortTaskJob(
            team: Int,
            tasks: Int,
            zone: String? = null,
            oneZone: Boolean = false,
        ): JobSpec =
            largeTaskJob(team, tasks, estimateS = 6.0, oneZone).copy(cpus = 2.0, zone = zone)

        fun workers() = simulation.cloud.workers()

        /** Workers that run at least one task. */
        fun busyWorkers() = workers().filter { it.activeTasks > 0 }

        /** Drops the messages sent from [a] to [b]; the reverse direction works. */
        fun dropMessages(a: String, b: String, duration: Micros) {
            simulation.network.blockPath(a, b)
            clock.after(duration) { simulation.network.unblockPath(a, b) }
        }

        fun makeUnresponsive(worker: FakeWorker, duration: Micros) {
            worker.unresponsive = true
            clock.after(duration) { worker.unresponsive = false }
        }

        /** Drops the heartbeats of [worker]; direct commands still reach it. */
        fun dropHeartbeats(worker: FakeWorker, duration: Micros) {
            simulation.network.outboundBlocked.add(worker.id)
            clock.after(duration) { simulation.network.outboundBlocked.remove(worker.id) }
        }

        fun checkNoViolations() {
            assertEquals(
                emptyList(),
                simulation.violations().distinct().take(4),
                "violated invariants",
            )
            assertTrue(simulation.invariants.starts > 0, "no task was started")
        }

        fun checkJobsDone(vararg jobs: JobSpec) {
            checkNoViolations()
            assertEquals(
                emptyList(),
                jobs.map { it.id }.filter { simulation.invariants.finalStateOf(it) != "done" },
                "jobs that are not done",
            )
        }
    }

    // Machines whose heartbeats are lost.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `no task starts on machines whose heartbeats are lost, and new jobs complete`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 3) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val duration = scenario.clock.randomBetween(12.seconds, 70.seconds)
            for (worker in scenario.busyWorkers()) {
                if (!scenario.clock.chance(0.8)) continue
                scenario.dropHeartbeats(worker, duration)
                // No task may start on a machine whose lease is not renewed.
                scenario.clock.after(11.seconds) {
                    val before = worker.startedTasks
                    scenario.clock.after(duration - 11.seconds) {
                        assertEquals(
                            before,
                            worker.startedTasks,
                            "tasks started on ${worker.id}, whose heartbeats are lost",
                        )
                    }
                }
            }
            scenario.clock.after(scenario.clock.randomBetween(0.seconds, 20.seconds)) {
                scenario.simulation.cancel(jobs[0].id)
            }
        }
        val laterJobs = List(3) { scenario.shortTaskJob(it, 12) }
        for ((i, job) in laterJobs.withIndex()) scenario.at((33 + 9 * i).seconds) {
            scenario.simulation.submit(job)
        }
        scenario.simulation.run(200.seconds)
        scenario.checkJobsDone(*laterJobs.toTypedArray())
    }

    // Tasks of cancelled jobs on unresponsive machines.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 6])
    fun `jobs cancelled on many unresponsive machines during a change of leader end in time`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 4) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val busyWorkers = scenario.busyWorkers()
            assertTrue(
                busyWorkers.size >= 6,
                "at least 6 busy workers expected, but there are ${busyWorkers.size}",
            )
            for (worker in busyWorkers.drop((seed % 3).toInt() * 3)) scenario.makeUnresponsive(
                worker,
                90.seconds,
            )
            for (job in jobs) scenario.simulation.cancel(job.id)
            scenario.clock.after(scenario.clock.randomBetween(1.seconds, 25.seconds)) {
                scenario.simulation.leader()?.let { scenario.simulation.crash(it, 3.seconds) }
            }
        }
        scenario.simulation.run(150.seconds)
        scenario.checkNoViolations()
    }

    // Jobs that must run in one zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs bound to one zone end despite crashed and unresponsive machines and a new leader`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        // Each job has more tasks than the quota of its team allows at once, so that some tasks
        // wait while machines with others are unreachable.
        val zoneJob = scenario.shortTaskJob(0, 40, zone = "b").copy(estimateS = 20.0)
        val oneZoneJob = scenario.shortTaskJob(1, 40, oneZone = true).copy(estimateS = 20.0)
        val otherOneZoneJob = scenario.shortTaskJob(2, 40, oneZone = true).copy(estimateS = 20.0)
        for (job in listOf(zoneJob, oneZoneJob, otherOneZoneJob)) scenario.simulation.submit(job)
        scenario.at(20.seconds) {
            val shuffledWorkers = scenario.workers().shuffled(scenario.clock.random)
            for (worker in shuffledWorkers.take(shuffledWorkers.size / 2)) {
                if (scenario.clock.chance(0.5)) scenario.simulation.cloud.crash(worker)
                else
                    scenario.makeUnresponsive(
                        worker,
                        scenario.clock.randomBetween(3.seconds, 30.seconds),
                    )
            }
            scenario.clock.after(scenario.clock.randomBetween(0.seconds, 6.seconds)) {
                scenario.simulation.leader()?.let { scenario.simulation.crash(it, 2.seconds) }
            }
        }
        scenario.at(45.seconds) {
            scenario.busyWorkers().take(2).forEach { scenario.simulation.cloud.crash(it) }
        }
        scenario.simulation.run(220.seconds)
        scenario.checkJobsDone(zoneJob, oneZoneJob, otherOneZoneJob)
    }

    // A leader crashes while machines with long tasks are unreachable.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs end when a leader crashes while machines are partitioned from controllers`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        // Other machines have room for the tasks of unreachable machines.
        val jobs = List(3) { scenario.largeTaskJob(it, 3).copy(cpus = 5.0) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val duration = scenario.clock.randomBetween(5.seconds, 60.seconds)
            for (worker in scenario.busyWorkers()) {
                when (scenario.clock.random.nextInt(4)) {
                    0 ->
                        for (node in scenario.simulation.nodes) scenario.dropMessages(
                            node,
                            worker.id,
                            duration,
                        )
                    1 -> {
                        scenario.simulation.network.isolate(worker.id)
                        scenario.clock.after(duration) {
                            scenario.simulation.network.reconnect(worker.id)
                        }
                    }
                }
            }
            scenario.simulation.leader()?.let {
                scenario.simulation.crash(it, scenario.clock.randomBetween(1.seconds, 9.seconds))
            }
            scenario.clock.after(scenario.clock.randomBetween(0.seconds, 12.seconds)) {
                scenario.simulation.cancel(jobs[1].id)
            }
        }
        val laterJobs = List(3) { scenario.shortTaskJob(it, 10) }
        scenario.at(40.seconds) { for (job in laterJobs) scenario.simulation.submit(job) }
        scenario.simulation.run(210.seconds)
        scenario.checkJobsDone(*laterJobs.toTypedArray())
    }

    // A zone is partitioned together with a controller in it.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs end after a zone and a controller were partitioned for longer than a lease`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 4) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val duration = scenario.clock.randomBetween(17.seconds, 60.seconds)
            val leader = scenario.simulation.leader()
            // The controller inside the partition is a follower if 3 divides the seed, else the
            // leader.
            val node = scenario.simulation.nodes.first { (it == leader) == (seed % 3 != 0L) }
            val inside = scenario.workers().filter { it.zone == "a" }.map { it.id } + node
            val outside =
                scenario.workers().filter { it.zone != "a" }.map { it.id } +
                    (scenario.simulation.nodes - node) +
                    listOf("state", "cloud", "user")
            for (a in inside) for (b in outside) {
                scenario.dropMessages(a, b, duration)
                scenario.dropMessages(b, a, duration)
            }
            scenario.clock.after(scenario.clock.randomBetween(0.seconds, 9.seconds)) {
                scenario.simulation.cancel(jobs[2].id)
            }
        }
        val laterJobs = List(3) { scenario.shortTaskJob(it, 10) }
        scenario.at(36.seconds) { for (job in laterJobs) scenario.simulation.submit(job) }
        scenario.simulation.run(210.seconds)
        scenario.checkJobsDone(*laterJobs.toTypedArray())
    }

    // Delayed commands and lost responses.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs cancelled while unresponsive machines hold start commands break no invariant`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        val initialJobs = List(3) { scenario.largeTaskJob(it, 1) }
        initialJobs.forEach { scenario.simulation.submit(it) }
        val cancelled = List(3) { scenario.shortTaskJob(it, 6).copy(estimateS = 400.0) }
        val kept = List(3) { scenario.shortTaskJob(it, 8).copy(estimateS = 20.0) }
        scenario.at(25.seconds) {
            for (job in kept + cancelled) scenario.simulation.submit(job)
            // The faults begin while the commands to start these tasks are sent.
            scenario.clock.after(scenario.clock.randomBetween(20.milliseconds, 200.milliseconds)) {
                for (worker in scenario.workers()) {
                    val duration = scenario.clock.randomBetween(1.seconds, 15.seconds)
                    if (scenario.clock.chance(0.5)) scenario.makeUnresponsive(worker, duration)
                    else if (scenario.clock.chance(0.5)) {
                        // The command arrives, but its response is lost.
                        for (node in scenario.simulation.nodes) scenario.dropMessages(
                            worker.id,
                            node,
                            duration,
                        )
                    }
                }
            }
            scenario.clock.after(scenario.clock.randomBetween(0.seconds, 6.seconds)) {
                for (job in cancelled) scenario.simulation.cancel(job.id)
            }
        }
        scenario.simulation.run(200.seconds)
        scenario.checkJobsDone(*kept.toTypedArray())
    }

    // More tasks than the machines have room for.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a backlog of urgent and other jobs completes although messages are delayed`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val simulation = scenario.simulation
        val hosts = simulation.nodes + "state" + "cloud"
        val jobs = ArrayList<JobSpec>()
        for (second in 2..60 step 3) scenario.at(second.seconds) {
            val urgent = scenario.clock.chance(0.5)
            val team = scenario.clock.random.nextInt(3)
            val job =
                if (urgent) scenario.shortTaskJob(team, 15).copy(priority = PriorityClass.HIGH)
                else
                    scenario
                        .largeTaskJob(team, 2, estimateS = 20.0)
                        .copy(checkpointS = 3.0, saveS = 2.0)
            jobs.add(job)
            simulation.submit(job)
        }
        scenario.at(10.seconds) {
            for (host in hosts) simulation.network.extraLatency[host] =
                scenario.clock.randomBetween(50.milliseconds, 400.milliseconds)
            for (w in scenario.workers()) {
                simulation.network.extraLatency[w.id] =
                    scenario.clock.randomBetween(50.milliseconds, 900.milliseconds)
            }
        }
        scenario.at(70.seconds) { simulation.network.extraLatency.clear() }
        simulation.run(330.seconds)
        simulation.checkAtEnd(faultsEndedAt = 70.seconds)
        scenario.checkJobsDone(*jobs.toTypedArray())
    }
}
