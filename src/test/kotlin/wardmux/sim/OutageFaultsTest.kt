package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.config.OperatorSettings
import wardmux.model.Micros
import wardmux.model.millis
import wardmux.model.secs

/** Outages of the state service that meet cancellations, lone leaders and changes of leader. */
class OutageFaultsTest {
    /** How workers' reports come in, and whether the leader that is refused hears its siblings. */
    data class Way(val seed: Long, val relays: Boolean, val lone: Boolean)

    private class Meeting(seed: Long, relays: Boolean) {
        val simulation =
            ClusterSimulation(
                seed,
                operators =
                    if (relays) OperatorSettings(reportsPerCore = 0.0) else OperatorSettings(),
            )
        val clock = simulation.clock
        val rules = simulation.rules
        val jobs = ArrayList<String>()

        constructor(way: Way) : this(way.seed, way.relays)

        /** Tasks that go on until they are cancelled. */
        fun submit(count: Int) =
            repeat(count) {
                val spec = simulation.plainService("team-${jobs.size % 3}", TASKS)
                jobs.add(spec.id)
                simulation.submit(spec)
            }

        /** Six jobs run, and the leader has settled how reports come in. */
        fun begin() {
            clock.after(4.secs) { submit(6) }
            simulation.run(30.secs)
            while (jobs.any { rules.placesOf(it).size < TASKS } && clock.now < START) runFor(1.secs)
            // Nothing of what was done to get there is under way any more.
            runFor(clock.between(5.secs, 6.secs))
            for (job in jobs) assertEquals(TASKS, rules.placesOf(job).size, "$job runs")
        }

        fun leader() = simulation.leader() ?: error("nobody leads")

        fun others() = simulation.nodes - leader()

        fun apart(a: String, b: String, length: Micros) {
            for ((from, to) in listOf(a to b, b to a)) {
                simulation.network.part(from, to)
                clock.after(length) { simulation.network.join(from, to) }
            }
        }

        fun outage(member: String?, length: Micros) {
            simulation.state.outage(member, endsWatches = true)
            clock.after(length) { simulation.state.back(member) }
        }

        fun runFor(length: Micros) = simulation.run(clock.now + length)

        fun cancel(job: String, by: String? = null) = simulation.cancel(job, by)

        /** What nobody cancelled runs again, all of it, and no rule was broken on the way. */
        fun end(calm: Micros) {
            simulation.endOfDay(calm)
            assertEquals(emptyList(), simulation.problems())
            for (job in jobs) {
                if (rules.finalOf(job) == "cancelled") assertEquals(0, rules.placesOf(job).size)
                else assertEquals(TASKS, rules.placesOf(job).size, "$job runs again")
            }
        }

        /**
         * The state service refuses the leader alone, jobs are cancelled through another controller
         * meanwhile, and then it is out for all, for longer than a cancellation may take.
         */
        fun gap(way: Way, count: Int = 3, more: (cancelled: List<String>) -> Unit = {}) {
            val leader = leader()
            val other = others().random(clock.random)
            val late = lateOnes()
            if (way.lone) for (node in others()) apart(leader, node, GAP + OUTAGE)
            outage(leader, 14.secs)
            val cancelled = jobs.takeLast(count)
            more(cancelled)
            runFor(clock.between(5.millis, 400.millis))
            for (job in cancelled) cancel(job, by = other)
            runFor(GAP)
            for (job in cancelled) assertEquals(
                "cancelled",
                rules.finalOf(job),
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
            clock.every(100.millis) {
                late +=
                    jobs.filter { job ->
                        val at = rules.cancelledAt(job)
                        at != null && clock.now - at > CANCEL && rules.placesOf(job).isNotEmpty()
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
                val hosts = cancelled.flatMap { rules.placesOf(it).values }.toSet()
                for (worker in simulation.cloud.workers().filter { it.id in hosts }) {
                    worker.hanging = true
                    clock.after(clock.between(8.secs, 20.secs)) { worker.hanging = false }
                }
            }
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `so is what starts late`(way: Way) =
        Meeting(way).run {
            begin()
            for (worker in simulation.cloud.workers()) {
                simulation.lateOrders[worker.id] = clock.between(4.secs, 13.secs)
            }
            submit(1)
            // Decided on, written and sent, but not there; some go out with a report's answer.
            runFor(1500.millis)
            assertTrue(rules.placesOf(jobs.last()).size < TASKS)
            gap(way, count = 1)
            // Halted while it still waits for its image, it never comes to run.
            val late = rules.startsAfterCancel + rules.startsCarriedOutAfterCancel
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
            simulation.crash(former, 90.secs)
            runFor(clock.between(100.millis, 2.secs))
            val cancelled = jobs.takeLast(3)
            for (job in cancelled) cancel(
                job,
                by = (simulation.nodes - former).random(clock.random),
            )
            val until = clock.now + 20.secs
            while (simulation.leader() in listOf(former, null) && clock.now < until) runFor(
                1.millis
            )
            val leader = leader()
            assertNotEquals(former, leader)
            if (way.lone) for (node in others()) apart(leader, node, OUTAGE)
            outage(null, OUTAGE)
            for (job in cancelled) assertEquals("cancelled", rules.finalOf(job))
            runFor(OUTAGE + 90.secs)
            end(calm = clock.now - 90.secs)
        }

    /** Nobody can have cancelled anything, so nothing is given up. */
    @ParameterizedTest
    @MethodSource("heard")
    fun `a leader that hears all others keeps what runs in an outage for all`(way: Way) =
        Meeting(way).run {
            begin()
            cancel(jobs.removeLast())
            runFor(6.secs)
            val before = jobs.associateWith { rules.placesOf(it) }
            outage(null, OUTAGE)
            runFor(OUTAGE)
            assertEquals(before, jobs.associateWith { rules.placesOf(it) })
            runFor(CALM)
            end(calm = clock.now - CALM)
        }

    @ParameterizedTest
    @MethodSource("ways")
    fun `a slow state service, then none for the leader, then none for all`(way: Way) =
        Meeting(way).run {
            begin()
            val leader = leader()
            simulation.network.slow["state"] = clock.between(300.millis, 1500.millis)
            for (job in jobs.take(4)) {
                clock.after(clock.between(1.secs, 7500.millis)) { cancel(job) }
            }
            runFor(5.secs)
            if (way.lone) for (node in simulation.nodes - leader) apart(leader, node, OUTAGE)
            outage(leader, 14.secs)
            runFor(GAP)
            outage(null, OUTAGE)
            runFor(OUTAGE)
            simulation.network.slow.remove("state")
            runFor(70.secs)
            assertEquals(4, jobs.count { rules.finalOf(it) == "cancelled" })
            end(calm = clock.now - 70.secs)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `a leader with workers and users alone, and cancellations through the next`(way: Way) =
        Meeting(way).run {
            begin()
            val former = leader()
            for (host in others() + "state") apart(former, host, 70.secs)
            val until = clock.now + 20.secs
            while (simulation.leader() in listOf(former, null) && clock.now < until) runFor(
                10.millis
            )
            val next = leader()
            assertNotEquals(former, next)
            val some = jobs.shuffled(clock.random)
            cancel(some[0], by = next)
            clock.after(clock.between(1.secs, 10.secs)) { cancel(some[1], by = next) }
            // Asked of the lone one, which can't know and must not say that it was done.
            cancel(some[2], by = former)
            runFor(60.secs)
            for (job in some.take(2)) assertEquals("cancelled", rules.finalOf(job))
            assertEquals(null, rules.finalOf(some[2]))
            runFor(80.secs)
            end(calm = clock.now - 60.secs)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `leaders change ten times in two minutes, also inside an outage`(way: Way) =
        Meeting(way).run {
            begin()
            val tokens = HashSet<Long>()
            clock.every(50.millis) { simulation.state.stamp("leader")?.let { tokens.add(it) } }
            val begun = clock.now
            clock.after(40.secs) { outage(null, 20.secs) }
            for (job in jobs.take(4)) clock.after(clock.between(1.secs, 110.secs)) { cancel(job) }
            while (clock.now < begun + 120.secs) {
                // In the outage the key stays, while whoever would lead next comes and goes.
                simulation.leader()?.let { simulation.crash(it, clock.between(200.millis, 5.secs)) }
                runFor(clock.between(5.secs, 7.secs))
            }
            assertTrue(tokens.size > 10, "${tokens.size} leaders")
            runFor(80.secs)
            assertEquals(4, jobs.count { rules.finalOf(it) == "cancelled" })
            end(calm = clock.now - 70.secs)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `all controllers are away for longer than a lease`(way: Way) =
        Meeting(way).run {
            begin()
            for (job in jobs.take(2)) cancel(job)
            runFor(clock.between(20.millis, 400.millis))
            val away = clock.between(15.secs, 30.secs)
            for (node in simulation.nodes) simulation.crash(
                node,
                away + clock.between(1.secs, 3.secs),
            )
            runFor(away + 80.secs)
            assertEquals(2, jobs.count { rules.finalOf(it) == "cancelled" })
            end(calm = clock.now - 76.secs)
        }

    @ParameterizedTest
    @MethodSource("heard")
    fun `controllers hand over and back, all end, and one returns, also within a second`(way: Way) =
        Meeting(way).run {
            begin()
            val first = leader()
            val quick = way.seed % 2 == 0L
            cancel(jobs[0])
            simulation.crash(first, 300.millis)
            runFor(clock.between(1.secs, 6.secs))
            cancel(jobs[1])
            simulation.leader()?.let { simulation.crash(it, 300.millis) }
            runFor(clock.between(1.secs, 6.secs))
            cancel(jobs[2])
            runFor(clock.between(5.millis, 300.millis))
            val back =
                if (quick) clock.between(20.millis, 900.millis) else clock.between(1.secs, 12.secs)
            for (node in simulation.nodes) simulation.crash(
                node,
                if (node == first) back else 40.secs,
            )
            runFor(30.secs)
            assertEquals(first, simulation.leader(), "it leads by itself")
            runFor(100.secs)
            assertEquals(3, jobs.count { rules.finalOf(it) == "cancelled" })
            end(calm = clock.now - 85.secs)
        }

    companion object {
        private const val TASKS = 3
        private val START = 80.secs
        private val GAP = 1500.millis
        private val OUTAGE = 50.secs
        private val CALM = 60.secs
        private val CANCEL = 36_200.millis
        private val SEEDS = days()

        /** Others for a longer search: `-DargLine="-Dwardmux.meetings=1-100"`. */
        private fun days(): LongRange {
            val (first, last) = (System.getProperty("wardmux.meetings") ?: "1-3").split('-')
            return first.toLong()..last.toLong()
        }

        @JvmStatic
        fun ways(): List<Way> =
            SEEDS.flatMap { seed ->
                listOf(false, true).flatMap { relays ->
                    listOf(false, true).map { lone -> Way(seed, relays, lone) }
                }
            }

        /** Those in which the leader hears its siblings. */
        @JvmStatic fun heard(): List<Way> = ways().filter { !it.lone }
    }
}
