package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** Outages of the key-value store that meet cancellations, lone leaders and changes of leader. */
class OutageFaultsTest {
    /** How workers' heartbeats come in, and whether the leader that is refused hears its peers. */
    data class Way(val seed: Long, val forwarding: Boolean, val lone: Boolean)

    private class Meeting(seed: Long, forwarding: Boolean) {
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(forwarding))
        val clock = simulation.clock
        val invariants = simulation.invariants
        val jobs = ArrayList<String>()

        constructor(way: Way) : this(way.seed, way.forwarding)

        /** Tasks that go on until they are cancelled. */
        fun submit(count: Int) =
            repeat(count) {
                val spec = simulation.unconstrainedService("team-${jobs.size % 3}", TASKS)
                jobs.add(spec.id)
                simulation.submit(spec)
            }

        /** Six jobs run, and the leader has settled how heartbeats come in. */
        fun begin() {
            clock.after(4.seconds) { submit(6) }
            simulation.run(30.seconds)
            while (
                jobs.any { invariants.machineByTask(it).size < TASKS } && clock.now < START
            ) runFor(1.seconds)
            // Nothing of what was done to get there is under way any more.
            runFor(clock.randomBetween(5.seconds, 6.seconds))
            for (job in jobs) assertEquals(TASKS, invariants.machineByTask(job).size, "$job runs")
        }

        fun leader() = simulation.leader() ?: error("nobody leads")

        fun others() = simulation.nodes - leader()

        fun apart(a: String, b: String, length: Micros) {
            for ((from, to) in listOf(a to b, b to a)) {
                simulation.network.blockPath(from, to)
                clock.after(length) { simulation.network.unblockPath(from, to) }
            }
        }

        fun outage(member: String?, length: Micros) {
            simulation.store.startOutage(member, endWatches = true)
            clock.after(length) { simulation.store.endOutage(member) }
        }

        fun runFor(length: Micros) = simulation.run(clock.now + length)

        fun cancel(job: String, by: String? = null) = simulation.cancel(job, by)

        /** What nobody cancelled runs again, all of it, and no rule was broken on the way. */
        fun end(calm: Micros) {
            simulation.checkAtEnd(calm)
            assertEquals(emptyList(), simulation.violations())
            for (job in jobs) {
                if (invariants.finalStateOf(job) == "cancelled")
                    assertEquals(0, invariants.machineByTask(job).size)
                else assertEquals(TASKS, invariants.machineByTask(job).size, "$job runs again")
            }
        }

        /**
         * The key-value store refuses the leader alone, jobs are cancelled through another
         * controller meanwhile, and then it is out for all, for longer than a cancellation may
         * take.
         */
        fun gap(way: Way, count: Int = 3, more: (cancelled: List<String>) -> Unit = {}) {
            val leader = leader()
            val other = others().random(clock.random)
            val late = lateOnes()
            if (way.lone) for (node in others()) apart(leader, node, GAP + OUTAGE)
            outage(leader, 14.seconds)
            val cancelled = jobs.takeLast(count)
            more(cancelled)
            runFor(clock.randomBetween(5.milliseconds, 400.milliseconds))
            for (job in cancelled) cancel(job, by = other)
            runFor(GAP)
            for (job in cancelled) assertEquals(
                "cancelled",
                invariants.finalStateOf(job),
                "$job is confirmed",
            )
            assertEquals(leader, simulation.leader(), "it still has its lease")
            outage(null, OUTAGE)
            runFor(OUTAGE)
            assertEquals(leader, simulation.leader(), "nobody else leads in the outage")
            assertEquals(emptySet(), late)
            runFor(CALM)
            end(calm = clock.now - CALM)
        }

        /**
         * To the letter, without the slack of the simulation's rules; machines look ten times a
         * second.
         */
        private fun lateOnes(): Set<String> {
            val late = HashSet<String>()
            clock.every(100.milliseconds) {
                late +=
                    jobs.filter { job ->
                        val at = invariants.cancellationReportedAt(job)
                        at != null &&
                            clock.now - at > CANCEL &&
                            invariants.machineByTask(job).isNotEmpty()
                    }
            }
            return late
        }
    }

    @ParameterizedTest
    @MethodSource("ways")
    fun `what is cancelled beside a refused leader is gone in time though all are out then`(
        way: Way
    ) =
        Meeting(way).run {
            begin()
            gap(way)
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `so it is on machines that hang and go on`(way: Way) =
        Meeting(way).run {
            begin()
            gap(way) { cancelled ->
                // Some go on just before their lease is over, some just after it.
                val hosts = cancelled.flatMap { invariants.machineByTask(it).values }.toSet()
                for (worker in simulation.cloud.workers().filter { it.id in hosts }) {
                    worker.unresponsive = true
                    clock.after(clock.randomBetween(8.seconds, 20.seconds)) {
                        worker.unresponsive = false
                    }
                }
            }
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `so is what starts late`(way: Way) =
        Meeting(way).run {
            begin()
            for (worker in simulation.cloud.workers()) {
                simulation.commandDelays[worker.id] = clock.randomBetween(4.seconds, 13.seconds)
            }
            submit(1)
            // Decided on, written and sent, but not there; some go out with a report's answer.
            runFor(1500.milliseconds)
            assertTrue(invariants.machineByTask(jobs.last()).size < TASKS)
            gap(way, count = 1)
            // Halted while it still waits for its image, it never comes to run.
            val late = invariants.startsAfterCancel + invariants.startsCarriedOutAfterCancel
            assertTrue(late > 0, "it was carried out late")
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `a leader that has read nothing before the outage keeps nothing that was cancelled`(
        way: Way
    ) =
        Meeting(way).run {
            begin()
            val former = leader()
            simulation.crash(former, 90.seconds)
            runFor(clock.randomBetween(100.milliseconds, 2.seconds))
            val cancelled = jobs.takeLast(3)
            for (job in cancelled) cancel(
                job,
                by = (simulation.nodes - former).random(clock.random),
            )
            val until = clock.now + 20.seconds
            while (simulation.leader() in listOf(former, null) && clock.now < until) runFor(
                1.milliseconds
            )
            val leader = leader()
            assertNotEquals(former, leader)
            if (way.lone) for (node in others()) apart(leader, node, OUTAGE)
            outage(null, OUTAGE)
            for (job in cancelled) assertEquals("cancelled", invariants.finalStateOf(job))
            runFor(OUTAGE + 90.seconds)
            end(calm = clock.now - 90.seconds)
        }

    /** Nobody can have cancelled anything, so nothing is decommissioned. */
    @ParameterizedTest
    @MethodSource("heard")
    fun `a leader that hears all others keeps what runs in an outage for all`(way: Way) =
        Meeting(way).run {
            begin()
            cancel(jobs.removeLast())
            runFor(6.seconds)
            val before = jobs.associateWith { invariants.machineByTask(it) }
            outage(null, OUTAGE)
            runFor(OUTAGE)
            assertEquals(before, jobs.associateWith { invariants.machineByTask(it) })
            runFor(CALM)
            end(calm = clock.now - CALM)
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `a slow key-value store, then none for the leader, then none for all`(way: Way) =
        Meeting(way).run {
            begin()
            val leader = leader()
            simulation.network.extraLatency["state"] =
                clock.randomBetween(300.milliseconds, 1500.milliseconds)
            for (job in jobs.take(4)) {
                clock.after(clock.randomBetween(1.seconds, 7500.milliseconds)) { cancel(job) }
            }
            runFor(5.seconds)
            if (way.lone) for (node in simulation.nodes - leader) apart(leader, node, OUTAGE)
            outage(leader, 14.seconds)
            runFor(GAP)
            outage(null, OUTAGE)
            runFor(OUTAGE)
            simulation.network.extraLatency.remove("state")
            runFor(70.seconds)
            assertEquals(4, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            end(calm = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `a leader with workers and users alone, and cancellations through the next`(way: Way) =
        Meeting(way).run {
            begin()
            val former = leader()
            for (host in others() + "state") apart(former, host, 70.seconds)
            val until = clock.now + 20.seconds
            while (simulation.leader() in listOf(former, null) && clock.now < until) runFor(
                10.milliseconds
            )
            val next = leader()
            assertNotEquals(former, next)
            val some = jobs.shuffled(clock.random)
            cancel(some[0], by = next)
            clock.after(clock.randomBetween(1.seconds, 10.seconds)) { cancel(some[1], by = next) }
            // Asked of the lone one, which can't know and must not say that it was done.
            cancel(some[2], by = former)
            runFor(60.seconds)
            for (job in some.take(2)) assertEquals("cancelled", invariants.finalStateOf(job))
            assertEquals(null, invariants.finalStateOf(some[2]))
            runFor(80.seconds)
            end(calm = clock.now - 60.seconds)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `leaders change ten times in two minutes, also inside an outage`(way: Way) =
        Meeting(way).run {
            begin()
            val tokens = HashSet<Long>()
            clock.every(50.milliseconds) {
                simulation.store.version("leader")?.let { tokens.add(it) }
            }
            val begun = clock.now
            clock.after(40.seconds) { outage(null, 20.seconds) }
            for (job in jobs.take(4)) clock.after(clock.randomBetween(1.seconds, 110.seconds)) {
                cancel(job)
            }
            while (clock.now < begun + 120.seconds) {
                // In the outage the key stays, while whoever would lead next comes and goes.
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(200.milliseconds, 5.seconds))
                }
                runFor(clock.randomBetween(5.seconds, 7.seconds))
            }
            assertTrue(tokens.size > 10, "${tokens.size} leaders")
            runFor(80.seconds)
            assertEquals(4, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            end(calm = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `all controllers are away for longer than a lease`(way: Way) =
        Meeting(way).run {
            begin()
            for (job in jobs.take(2)) cancel(job)
            runFor(clock.randomBetween(20.milliseconds, 400.milliseconds))
            val away = clock.randomBetween(15.seconds, 30.seconds)
            for (node in simulation.nodes) simulation.crash(
                node,
                away + clock.randomBetween(1.seconds, 3.seconds),
            )
            runFor(away + 80.seconds)
            assertEquals(2, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            end(calm = clock.now - 76.seconds)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `controllers hand over and back, all end, and one returns, also within a second`(way: Way) =
        Meeting(way).run {
            begin()
            val first = leader()
            val quick = way.seed % 2 == 0L
            cancel(jobs[0])
            simulation.crash(first, 300.milliseconds)
            runFor(clock.randomBetween(1.seconds, 6.seconds))
            cancel(jobs[1])
            simulation.leader()?.let { simulation.crash(it, 300.milliseconds) }
            runFor(clock.randomBetween(1.seconds, 6.seconds))
            cancel(jobs[2])
            runFor(clock.randomBetween(5.milliseconds, 300.milliseconds))
            val back =
                if (quick) clock.randomBetween(20.milliseconds, 900.milliseconds)
                else clock.randomBetween(1.seconds, 12.seconds)
            for (node in simulation.nodes) simulation.crash(
                node,
                if (node == first) back else 40.seconds,
            )
            runFor(30.seconds)
            assertEquals(first, simulation.leader(), "it leads by itself")
            runFor(100.seconds)
            assertEquals(3, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            end(calm = clock.now - 85.seconds)
        }

    companion object {
        private const val TASKS = 3
        private val START = 80.seconds
        private val GAP = 1500.milliseconds
        private val OUTAGE = 50.seconds
        private val CALM = 60.seconds
        private val CANCEL = 36_200.milliseconds
        private val SEEDS = scenarios()

        /** Others for a longer search: `-DargLine="-Dwardmux.meetings=1-100"`. */
        private fun scenarios(): LongRange {
            val (first, last) = (System.getProperty("wardmux.meetings") ?: "1-3").split('-')
            return first.toLong()..last.toLong()
        }

        @JvmStatic
        fun ways(): List<Way> =
            SEEDS.flatMap { seed ->
                listOf(false, true).flatMap { forwarding ->
                    listOf(false, true).map { lone -> Way(seed, forwarding, lone) }
                }
            }

        /** Those in which the leader hears its peers. */
        @JvmStatic fun heard(): List<Way> = ways().filter { !it.lone }
    }
}
