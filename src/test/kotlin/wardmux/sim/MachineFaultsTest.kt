package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/** Two troubles at once, where machines are one of them: each brought about on purpose. */
class MachineFaultsTest {
    private class Meeting(seed: Long) {
        // Every other day all controllers take reports.
        val simulation =
            ClusterSimulation(
                seed,
                operators =
                    if (seed % 2 == 0L) OperatorSettings()
                    else OperatorSettings(heartbeatsPerCore = 0.0),
            )
        val clock = simulation.clock

        fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

        /** A task of it takes most of a machine, and never ends by itself unless it is [short]. */
        fun large(team: Int, tasks: Int, short: Double = 0.0, oneZone: Boolean = false): JobSpec =
            simulation
                .randomJob()
                .copy(
                    team = "team-$team",
                    shape = if (short > 0) JobKind.ARRAY else JobKind.SERVICE,
                    urgency = PriorityClass.NORMAL,
                    tasks = tasks,
                    cpus = 9.0,
                    zone = null,
                    oneZone = oneZone,
                    spread = false,
                    spot = true,
                    estimateS = short,
                    checkpointS = 0.0,
                    saveS = 0.0,
                )

        /** A job of many short tasks. */
        fun array(team: Int, tasks: Int, zone: String? = null, oneZone: Boolean = false): JobSpec =
            large(team, tasks, short = 6.0, oneZone).copy(cpus = 2.0, zone = zone)

        fun workers() = simulation.cloud.workers()

        fun busy() = workers().filter { it.tasksThere > 0 }

        fun part(a: String, b: String, length: Micros) {
            simulation.network.part(a, b)
            clock.after(length) { simulation.network.join(a, b) }
        }

        fun hang(worker: FakeWorker, length: Micros) {
            worker.hanging = true
            clock.after(length) { worker.hanging = false }
        }

        fun mute(worker: FakeWorker, length: Micros) {
            simulation.network.mute.add(worker.id)
            clock.after(length) { simulation.network.mute.remove(worker.id) }
        }

        fun holds() {
            assertEquals(emptyList(), simulation.problems().distinct().take(4))
            assertTrue(simulation.rules.starts > 0, "nothing ran")
        }

        fun done(vararg jobs: JobSpec) {
            holds()
            assertEquals(
                emptyList(),
                jobs.map { it.id }.filter { simulation.rules.finalOf(it) != "done" },
            )
        }
    }

    // (a) Mute machines.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `mute machines, with cancellations and new starts meanwhile`(seed: Long) {
        val day = Meeting(seed)
        val jobs = List(3) { day.large(it, 3) }
        jobs.forEach { day.simulation.submit(it) }
        day.at(30.seconds) {
            val length = day.clock.between(12.seconds, 70.seconds)
            for (worker in day.busy()) {
                if (!day.clock.chance(0.8)) continue
                day.mute(worker, length)
                // Nothing new goes where no lease is renewed.
                day.clock.after(11.seconds) {
                    val before = worker.starts
                    day.clock.after(length - 11.seconds) {
                        assertEquals(before, worker.starts, "started on a mute machine")
                    }
                }
            }
            day.clock.after(day.clock.between(0.seconds, 20.seconds)) {
                day.simulation.cancel(jobs[0].id)
            }
        }
        val late = List(3) { day.array(it, 12) }
        for ((i, job) in late.withIndex()) day.at((33 + 9 * i).seconds) {
            day.simulation.submit(job)
        }
        day.simulation.run(200.seconds)
        day.done(*late.toTypedArray())
    }

    // Tasks of cancelled jobs.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 6])
    fun `cancelled on machines that hang, many at once, while the leader changes`(seed: Long) {
        val day = Meeting(seed)
        val jobs = List(3) { day.large(it, 4) }
        jobs.forEach { day.simulation.submit(it) }
        day.at(30.seconds) {
            val busy = day.busy()
            assertTrue(busy.size >= 6, "only ${busy.size} are busy")
            for (worker in busy.drop((seed % 3).toInt() * 3)) day.hang(worker, 90.seconds)
            for (job in jobs) day.simulation.cancel(job.id)
            day.clock.after(day.clock.between(1.seconds, 25.seconds)) {
                day.simulation.leader()?.let { day.simulation.crash(it, 3.seconds) }
            }
        }
        day.simulation.run(150.seconds)
        day.holds()
    }

    // (b) Jobs bound to one zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs bound to one zone lose machines, by death, a hang and a change of leaders`(
        seed: Long
    ) {
        val day = Meeting(seed)
        // More than its team may have at once, so that some wait while others are out.
        val pinned = day.array(0, 40, zone = "b").copy(estimateS = 20.0)
        val together = day.array(1, 40, oneZone = true).copy(estimateS = 20.0)
        val far = day.array(2, 40, oneZone = true).copy(estimateS = 20.0)
        for (job in listOf(pinned, together, far)) day.simulation.submit(job)
        day.at(20.seconds) {
            val there = day.workers().shuffled(day.clock.random)
            for (worker in there.take(there.size / 2)) {
                if (day.clock.chance(0.5)) day.simulation.cloud.kill(worker)
                else day.hang(worker, day.clock.between(3.seconds, 30.seconds))
            }
            day.clock.after(day.clock.between(0.seconds, 6.seconds)) {
                day.simulation.leader()?.let { day.simulation.crash(it, 2.seconds) }
            }
        }
        day.at(45.seconds) { day.busy().take(2).forEach { day.simulation.cloud.kill(it) } }
        day.simulation.run(220.seconds)
        day.done(pinned, together, far)
    }

    // (c) A leader ends while machines with long tasks are out of reach.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader ends while machines can't be reached or don't hear the next one`(seed: Long) {
        val day = Meeting(seed)
        // There is room elsewhere for what is out of reach.
        val jobs = List(3) { day.large(it, 3).copy(cpus = 5.0) }
        jobs.forEach { day.simulation.submit(it) }
        day.at(30.seconds) {
            val length = day.clock.between(5.seconds, 60.seconds)
            for (worker in day.busy()) {
                when (day.clock.random.nextInt(4)) {
                    0 -> for (node in day.simulation.nodes) day.part(node, worker.id, length)
                    1 -> {
                        day.simulation.network.cut(worker.id)
                        day.clock.after(length) { day.simulation.network.mend(worker.id) }
                    }
                }
            }
            day.simulation.leader()?.let {
                day.simulation.crash(it, day.clock.between(1.seconds, 9.seconds))
            }
            day.clock.after(day.clock.between(0.seconds, 12.seconds)) {
                day.simulation.cancel(jobs[1].id)
            }
        }
        val late = List(3) { day.array(it, 10) }
        day.at(40.seconds) { for (job in late) day.simulation.submit(job) }
        day.simulation.run(210.seconds)
        day.done(*late.toTypedArray())
    }

    // (d) A zone is cut off with a controller in it.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a zone with workers and a controller is cut off for longer than a lease`(seed: Long) {
        val day = Meeting(seed)
        val jobs = List(3) { day.large(it, 4) }
        jobs.forEach { day.simulation.submit(it) }
        day.at(30.seconds) {
            val length = day.clock.between(17.seconds, 60.seconds)
            val leader = day.simulation.leader()
            // The leader is inside, or one of the others.
            val node = day.simulation.nodes.first { (it == leader) == (seed % 3 != 0L) }
            val inside = day.workers().filter { it.zone == "a" }.map { it.id } + node
            val outside =
                day.workers().filter { it.zone != "a" }.map { it.id } +
                    (day.simulation.nodes - node) +
                    listOf("state", "cloud", "user")
            for (a in inside) for (b in outside) {
                day.part(a, b, length)
                day.part(b, a, length)
            }
            day.clock.after(day.clock.between(0.seconds, 9.seconds)) {
                day.simulation.cancel(jobs[2].id)
            }
        }
        val late = List(3) { day.array(it, 10) }
        day.at(36.seconds) { for (job in late) day.simulation.submit(job) }
        day.simulation.run(210.seconds)
        day.done(*late.toTypedArray())
    }

    // (e) Held-up commands and answers.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `starts reach a hanging machine, their job is cancelled, and it goes on`(seed: Long) {
        val day = Meeting(seed)
        val first = List(3) { day.large(it, 1) }
        first.forEach { day.simulation.submit(it) }
        val cancelled = List(3) { day.array(it, 6).copy(estimateS = 400.0) }
        val kept = List(3) { day.array(it, 8).copy(estimateS = 20.0) }
        day.at(25.seconds) {
            for (job in kept + cancelled) day.simulation.submit(job)
            // While these starts go out.
            day.clock.after(day.clock.between(20.milliseconds, 200.milliseconds)) {
                for (worker in day.workers()) {
                    val length = day.clock.between(1.seconds, 15.seconds)
                    if (day.clock.chance(0.5)) day.hang(worker, length)
                    else if (day.clock.chance(0.5)) {
                        // The order arrives, its answer comes too late.
                        for (node in day.simulation.nodes) day.part(worker.id, node, length)
                    }
                }
            }
            day.clock.after(day.clock.between(0.seconds, 6.seconds)) {
                for (job in cancelled) day.simulation.cancel(job.id)
            }
        }
        day.simulation.run(200.seconds)
        day.done(*kept.toTypedArray())
    }

    // (f) More work than room.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `more work than room, urgent and not, over slow links`(seed: Long) {
        val day = Meeting(seed)
        val simulation = day.simulation
        val hosts = simulation.nodes + "state" + "cloud"
        val jobs = ArrayList<JobSpec>()
        for (second in 2..60 step 3) day.at(second.seconds) {
            val urgent = day.clock.chance(0.5)
            val team = day.clock.random.nextInt(3)
            val job =
                if (urgent) day.array(team, 15).copy(urgency = PriorityClass.HIGH)
                else day.large(team, 2, short = 20.0).copy(checkpointS = 3.0, saveS = 2.0)
            jobs.add(job)
            simulation.submit(job)
        }
        day.at(10.seconds) {
            for (host in hosts) simulation.network.slow[host] =
                day.clock.between(50.milliseconds, 400.milliseconds)
            for (w in day.workers()) {
                simulation.network.slow[w.id] = day.clock.between(50.milliseconds, 900.milliseconds)
            }
        }
        day.at(70.seconds) { simulation.network.slow.clear() }
        simulation.run(330.seconds)
        simulation.endOfDay(calm = 70.seconds)
        day.done(*jobs.toTypedArray())
    }
}
