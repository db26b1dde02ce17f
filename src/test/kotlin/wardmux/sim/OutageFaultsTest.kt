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
    data class Variant(val seed: Long, val usesForwarding: Boolean, val isolatesLeader: Boolean)

    private class OutageScenario(seed: Long, usesForwarding: Boolean) {
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(usesForwarding))
        val clock = simulation.clock
        val invariants = simulation.invariants
        val jobs = ArrayList<String>()

        constructor(variant: Variant) : this(variant.seed, variant.usesForwarding)

        /** Tasks that go on until they are cancelled. */
        fun submit(jobCount: Int) =
            repeat(jobCount) {
                val spec = simulation.unconstrainedService("team-${jobs.size % 3}", TASKS_PER_JOB)
                jobs.add(spec.id)
                simulation.submit(spec)
            }

        /** Six jobs run, and the leader has settled how heartbeats come in. */
        fun startServices() {
            clock.after(4.seconds) { submit(6) }
            simulation.run(30.seconds)
            while (
                jobs.any { invariants.machineByTask(it).size < TASKS_PER_JOB } &&
                    clock.now < START_DEADLINE
            ) runFor(1.seconds)
            // Nothing of what was done to get there is under way any more.
            runFor(clock.randomBetween(5.seconds, 6.seconds))
            for (job in jobs) assertEquals(
                TASKS_PER_JOB,
                invariants.machineByTask(job).size,
                "$job runs",
            )
        }

        fun leader() = simulation.leader() ?: error("nobody leads")

        fun followers() = simulation.nodes - leader()

        fun partition(a: String, b: String, duration: Micros) {
            for ((from, to) in listOf(a to b, b to a)) {
                simulation.network.blockPath(from, to)
                clock.after(duration) { simulation.network.unblockPath(from, to) }
            }
        }

        fun makeStoreUnavailable(member: String?, duration: Micros) {
            simulation.store.startOutage(member, endWatches = true)
            clock.after(duration) { simulation.store.endOutage(member) }
        }

        fun runFor(duration: Micros) = simulation.run(clock.now + duration)

        fun cancel(job: String, controller: String? = null) = simulation.cancel(job, controller)

        /** What nobody cancelled runs again, all of it, and no rule was broken on the way. */
        fun checkOutcome(faultsEndedAt: Micros) {
            simulation.checkAtEnd(faultsEndedAt)
            assertEquals(emptyList(), simulation.violations())
            for (job in jobs) {
                if (invariants.finalStateOf(job) == "cancelled")
                    assertEquals(0, invariants.machineByTask(job).size)
                else
                    assertEquals(
                        TASKS_PER_JOB,
                        invariants.machineByTask(job).size,
                        "$job runs again",
                    )
            }
        }

        /**
         * The key-value store refuses the leader alone, jobs are cancelled through another
         * controller meanwhile, and then it is out for all, for longer than a cancellation may
         * take.
         */
        fun checkCancellationsBeforeOutage(
            variant: Variant,
            jobCount: Int = 3,
            injectMoreFaults: (cancelled: List<String>) -> Unit = {},
        ) {
            val leader = leader()
            val other = followers().random(clock.random)
            val overdueJobs = watchOverdueJobs()
            if (variant.isolatesLeader)
                for (node in followers()) partition(
                    leader,
                    node,
                    LEADER_ONLY_OUTAGE + OUTAGE_DURATION,
                )
            makeStoreUnavailable(leader, 14.seconds)
            val cancelled = jobs.takeLast(jobCount)
            injectMoreFaults(cancelled)
            runFor(clock.randomBetween(5.milliseconds, 400.milliseconds))
            for (job in cancelled) cancel(job, controller = other)
            runFor(LEADER_ONLY_OUTAGE)
            for (job in cancelled) assertEquals(
                "cancelled",
                invariants.finalStateOf(job),
                "$job is confirmed",
            )
            assertEquals(leader, simulation.leader(), "it still has its lease")
            makeStoreUnavailable(null, OUTAGE_DURATION)
            runFor(OUTAGE_DURATION)
            assertEquals(leader, simulation.leader(), "nobody else leads in the outage")
            assertEquals(emptySet(), overdueJobs)
            runFor(RECOVERY_TIME)
            checkOutcome(faultsEndedAt = clock.now - RECOVERY_TIME)
        }

        /**
         * To the letter, without the slack of the simulation's rules; machines look ten times a
         * second.
         */
        private fun watchOverdueJobs(): Set<String> {
            val overdueJobs = HashSet<String>()
            clock.every(100.milliseconds) {
                overdueJobs +=
                    jobs.filter { job ->
                        val reportedAt = invariants.cancellationReportedAt(job)
                        reportedAt != null &&
                            clock.now - reportedAt > CANCELLATION_LIMIT &&
                            invariants.machineByTask(job).isNotEmpty()
                    }
            }
            return overdueJobs
        }
    }

    @ParameterizedTest
    @MethodSource("variants")
    fun `what is cancelled beside a refused leader is gone in time though all are out then`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            checkCancellationsBeforeOutage(variant)
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `so it is on machines that hang and go on`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            checkCancellationsBeforeOutage(variant) { cancelled ->
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
    @MethodSource("variants")
    fun `so is what starts late`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            for (worker in simulation.cloud.workers()) {
                simulation.commandDelays[worker.id] = clock.randomBetween(4.seconds, 13.seconds)
            }
            submit(1)
            // Decided on, written and sent, but not there; some go out with a report's answer.
            runFor(1500.milliseconds)
            assertTrue(invariants.machineByTask(jobs.last()).size < TASKS_PER_JOB)
            checkCancellationsBeforeOutage(variant, jobCount = 1)
            // Halted while it still waits for its image, it never comes to run.
            val overdueJobs = invariants.startsAfterCancel + invariants.startsCarriedOutAfterCancel
            assertTrue(overdueJobs > 0, "it was carried out late")
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `a leader that has read nothing before the outage keeps nothing that was cancelled`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            val formerLeader = leader()
            simulation.crash(formerLeader, 90.seconds)
            runFor(clock.randomBetween(100.milliseconds, 2.seconds))
            val cancelled = jobs.takeLast(3)
            for (job in cancelled) cancel(
                job,
                controller = (simulation.nodes - formerLeader).random(clock.random),
            )
            val until = clock.now + 20.seconds
            while (simulation.leader() in listOf(formerLeader, null) && clock.now < until) runFor(
                1.milliseconds
            )
            val leader = leader()
            assertNotEquals(formerLeader, leader)
            if (variant.isolatesLeader)
                for (node in followers()) partition(leader, node, OUTAGE_DURATION)
            makeStoreUnavailable(null, OUTAGE_DURATION)
            for (job in cancelled) assertEquals("cancelled", invariants.finalStateOf(job))
            runFor(OUTAGE_DURATION + 90.seconds)
            checkOutcome(faultsEndedAt = clock.now - 90.seconds)
        }

    /** Nobody can have cancelled anything, so nothing is decommissioned. */
    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `a leader that hears all others keeps what runs in an outage for all`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            cancel(jobs.removeLast())
            runFor(6.seconds)
            val placementsBefore = jobs.associateWith { invariants.machineByTask(it) }
            makeStoreUnavailable(null, OUTAGE_DURATION)
            runFor(OUTAGE_DURATION)
            assertEquals(placementsBefore, jobs.associateWith { invariants.machineByTask(it) })
            runFor(RECOVERY_TIME)
            checkOutcome(faultsEndedAt = clock.now - RECOVERY_TIME)
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `a slow key-value store, then none for the leader, then none for all`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            val leader = leader()
            simulation.network.extraLatency["state"] =
                clock.randomBetween(300.milliseconds, 1500.milliseconds)
            for (job in jobs.take(4)) {
                clock.after(clock.randomBetween(1.seconds, 7500.milliseconds)) { cancel(job) }
            }
            runFor(5.seconds)
            if (variant.isolatesLeader)
                for (node in simulation.nodes - leader) partition(leader, node, OUTAGE_DURATION)
            makeStoreUnavailable(leader, 14.seconds)
            runFor(LEADER_ONLY_OUTAGE)
            makeStoreUnavailable(null, OUTAGE_DURATION)
            runFor(OUTAGE_DURATION)
            simulation.network.extraLatency.remove("state")
            runFor(70.seconds)
            assertEquals(4, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            checkOutcome(faultsEndedAt = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `a leader with workers and users alone, and cancellations through the next`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            val formerLeader = leader()
            for (host in followers() + "state") partition(formerLeader, host, 70.seconds)
            val until = clock.now + 20.seconds
            while (simulation.leader() in listOf(formerLeader, null) && clock.now < until) runFor(
                10.milliseconds
            )
            val newLeader = leader()
            assertNotEquals(formerLeader, newLeader)
            val shuffledJobs = jobs.shuffled(clock.random)
            cancel(shuffledJobs[0], controller = newLeader)
            clock.after(clock.randomBetween(1.seconds, 10.seconds)) {
                cancel(shuffledJobs[1], controller = newLeader)
            }
            // Asked of the lone one, which can't know and must not say that it was done.
            cancel(shuffledJobs[2], controller = formerLeader)
            runFor(60.seconds)
            for (job in shuffledJobs.take(2)) assertEquals(
                "cancelled",
                invariants.finalStateOf(job),
            )
            assertEquals(null, invariants.finalStateOf(shuffledJobs[2]))
            runFor(80.seconds)
            checkOutcome(faultsEndedAt = clock.now - 60.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `leaders change ten times in two minutes, also inside an outage`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            val tokens = HashSet<Long>()
            clock.every(50.milliseconds) {
                simulation.store.version("leader")?.let { tokens.add(it) }
            }
            val startedAt = clock.now
            clock.after(40.seconds) { makeStoreUnavailable(null, 20.seconds) }
            for (job in jobs.take(4)) clock.after(clock.randomBetween(1.seconds, 110.seconds)) {
                cancel(job)
            }
            while (clock.now < startedAt + 120.seconds) {
                // In the outage the key stays, while whoever would lead next comes and goes.
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(200.milliseconds, 5.seconds))
                }
                runFor(clock.randomBetween(5.seconds, 7.seconds))
            }
            assertTrue(tokens.size > 10, "${tokens.size} leaders")
            runFor(80.seconds)
            assertEquals(4, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            checkOutcome(faultsEndedAt = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `all controllers are away for longer than a lease`(variant: Variant) =
        OutageScenario(variant).run {
            startServices()
            for (job in jobs.take(2)) cancel(job)
            runFor(clock.randomBetween(20.milliseconds, 400.milliseconds))
            val downtime = clock.randomBetween(15.seconds, 30.seconds)
            for (node in simulation.nodes) simulation.crash(
                node,
                downtime + clock.randomBetween(1.seconds, 3.seconds),
            )
            runFor(downtime + 80.seconds)
            assertEquals(2, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            checkOutcome(faultsEndedAt = clock.now - 76.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `controllers hand over and back, all end, and one returns, also within a second`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            val first = leader()
            val returnsWithinSecond = variant.seed % 2 == 0L
            cancel(jobs[0])
            simulation.crash(first, 300.milliseconds)
            runFor(clock.randomBetween(1.seconds, 6.seconds))
            cancel(jobs[1])
            simulation.leader()?.let { simulation.crash(it, 300.milliseconds) }
            runFor(clock.randomBetween(1.seconds, 6.seconds))
            cancel(jobs[2])
            runFor(clock.randomBetween(5.milliseconds, 300.milliseconds))
            val firstDowntime =
                if (returnsWithinSecond) clock.randomBetween(20.milliseconds, 900.milliseconds)
                else clock.randomBetween(1.seconds, 12.seconds)
            for (node in simulation.nodes) simulation.crash(
                node,
                if (node == first) firstDowntime else 40.seconds,
            )
            runFor(30.seconds)
            assertEquals(first, simulation.leader(), "it leads by itself")
            runFor(100.seconds)
            assertEquals(3, jobs.count { invariants.finalStateOf(it) == "cancelled" })
            checkOutcome(faultsEndedAt = clock.now - 85.seconds)
        }

    companion object {
        private const val TASKS_PER_JOB = 3
        private val START_DEADLINE = 80.seconds
        private val LEADER_ONLY_OUTAGE = 1500.milliseconds
        private val OUTAGE_DURATION = 50.seconds
        private val RECOVERY_TIME = 60.seconds
        private val CANCELLATION_LIMIT = 36_200.milliseconds
        private val SEEDS = seedRange()

        /** Others for a longer search: `-DargLine="-Dwardmux.meetings=1-100"`. */
        private fun seedRange(): LongRange {
            val (first, last) = (System.getProperty("wardmux.meetings") ?: "1-3").split('-')
            return first.toLong()..last.toLong()
        }

        @JvmStatic
        fun variants(): List<Variant> =
            SEEDS.flatMap { seed ->
                listOf(false, true).flatMap { usesForwarding ->
                    listOf(false, true).map { isolatesLeader ->
                        Variant(seed, usesForwarding, isolatesLeader)
                    }
                }
            }

        /** Those in which the leader hears its peers. */
        @JvmStatic fun variantsWithPeers(): List<Variant> = variants().filter { !it.isolatesLeader }
    }
}
