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

/** Two troubles at once, where machines are one of them: each brought about on purpose. */
class MachineFaultsTest {
    private class MachineFaultScenario(seed: Long) {
        // In every other scenario all controllers take reports.
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(seed % 2 != 0L))
        val clock = simulation.clock

        fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

        /** A task of it takes most of a machine, and never ends by itself unless it is [short]. */
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

        /** A job of many short tasks. */
        fun shortTaskJob(
            team: Int,
            tasks: Int,
            zone: String? = null,
            oneZone: Boolean = false,
        ): JobSpec =
            largeTaskJob(team, tasks, estimateS = 6.0, oneZone).copy(cpus = 2.0, zone = zone)

        fun workers() = simulation.cloud.workers()

        fun busyWorkers() = workers().filter { it.activeTasks > 0 }

        fun dropMessages(a: String, b: String, duration: Micros) {
            simulation.network.blockPath(a, b)
            clock.after(duration) { simulation.network.unblockPath(a, b) }
        }

        fun makeUnresponsive(worker: FakeWorker, duration: Micros) {
            worker.unresponsive = true
            clock.after(duration) { worker.unresponsive = false }
        }

        fun dropHeartbeats(worker: FakeWorker, duration: Micros) {
            simulation.network.outboundBlocked.add(worker.id)
            clock.after(duration) { simulation.network.outboundBlocked.remove(worker.id) }
        }

        fun checkNoViolations() {
            assertEquals(emptyList(), simulation.violations().distinct().take(4))
            assertTrue(simulation.invariants.starts > 0, "nothing ran")
        }

        fun checkJobsDone(vararg jobs: JobSpec) {
            checkNoViolations()
            assertEquals(
                emptyList(),
                jobs.map { it.id }.filter { simulation.invariants.finalStateOf(it) != "done" },
            )
        }
    }

    // (a) Mute machines.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `mute machines, with cancellations and new starts meanwhile`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 3) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val duration = scenario.clock.randomBetween(12.seconds, 70.seconds)
            for (worker in scenario.busyWorkers()) {
                if (!scenario.clock.chance(0.8)) continue
                scenario.dropHeartbeats(worker, duration)
                // Nothing new goes where no lease is renewed.
                scenario.clock.after(11.seconds) {
                    val before = worker.startedTasks
                    scenario.clock.after(duration - 11.seconds) {
                        assertEquals(before, worker.startedTasks, "started on a mute machine")
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

    // Tasks of cancelled jobs.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 6])
    fun `cancelled on machines that hang, many at once, while the leader changes`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 4) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val busyWorkers = scenario.busyWorkers()
            assertTrue(busyWorkers.size >= 6, "only ${busyWorkers.size} are busy")
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

    // (b) Jobs bound to one zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs bound to one zone lose machines, by death, a hang and a change of leaders`(
        seed: Long
    ) {
        val scenario = MachineFaultScenario(seed)
        // More than its team may have at once, so that some wait while others are out.
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

    // (c) A leader ends while machines with long tasks are out of reach.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader ends while machines can't be reached or don't hear the next one`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        // There is room elsewhere for what is out of reach.
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

    // (d) A zone is cut off with a controller in it.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a zone with workers and a controller is cut off for longer than a lease`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val jobs = List(3) { scenario.largeTaskJob(it, 4) }
        jobs.forEach { scenario.simulation.submit(it) }
        scenario.at(30.seconds) {
            val duration = scenario.clock.randomBetween(17.seconds, 60.seconds)
            val leader = scenario.simulation.leader()
            // The leader is inside, or one of the others.
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

    // (e) Held-up commands and answers.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `starts reach a hanging machine, their job is cancelled, and it goes on`(seed: Long) {
        val scenario = MachineFaultScenario(seed)
        val first = List(3) { scenario.largeTaskJob(it, 1) }
        first.forEach { scenario.simulation.submit(it) }
        val cancelled = List(3) { scenario.shortTaskJob(it, 6).copy(estimateS = 400.0) }
        val kept = List(3) { scenario.shortTaskJob(it, 8).copy(estimateS = 20.0) }
        scenario.at(25.seconds) {
            for (job in kept + cancelled) scenario.simulation.submit(job)
            // While these starts go out.
            scenario.clock.after(scenario.clock.randomBetween(20.milliseconds, 200.milliseconds)) {
                for (worker in scenario.workers()) {
                    val duration = scenario.clock.randomBetween(1.seconds, 15.seconds)
                    if (scenario.clock.chance(0.5)) scenario.makeUnresponsive(worker, duration)
                    else if (scenario.clock.chance(0.5)) {
                        // The order arrives, its answer comes too late.
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

    // (f) More work than room.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `more work than room, urgent and not, over slow links`(seed: Long) {
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
