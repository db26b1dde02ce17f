package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against cancelled tasks that keep running, and against other tasks that are lost, when the
 * key-value store is unavailable while jobs are cancelled, the leader is partitioned from the other
 * controllers, or leaders change.
 */
class OutageFaultsTest {
    /**
     * @property usesForwarding all controllers take heartbeats, rather than the leader alone
     * @property isolatesLeader the leader is also partitioned from the other controllers while the
     *   key-value store refuses it
     */
    data class Variant(val seed: Long, val usesForwarding: Boolean, val isolatesLeader: Boolean)

    private class OutageScenario(seed: Long, usesForwarding: Boolean) {
        val simulation = ClusterSimulation(seed, operators = forwardingSettings(usesForwarding))
        val clock = simulation.clock
        val invariants = simulation.invariants
        val jobs = ArrayList<String>()

        constructor(variant: Variant) : this(variant.seed, variant.usesForwarding)

        /** Submits [jobCount] services, whose tasks run until they are cancelled. */
        fun submit(jobCount: Int) =
            repeat(jobCount) {
                val spec = simulation.unconstrainedService("team-${jobs.size % 3}", TASKS_PER_JOB)
                jobs.add(spec.id)
                simulation.submit(spec)
            }

        /**
         * Submits six services and waits until all their tasks run and the leader has settled which
         * controllers take heartbeats.
         */
        fun startServices() {
            clock.after(4.seconds) { submit(6) }
            simulation.run(30.seconds)
            while (
                jobs.any { invariants.machineByTask(it).size < TASKS_PER_JOB } &&
                    clock.now < START_DEADLINE
            ) runFor(1.seconds)
            // No command or write from the startup is on its way any more after this.
            runFor(clock.randomBetween(5.seconds, 6.seconds))
            for (job in jobs) assertEquals(
                TASKS_PER_JOB,
                invariants.machineByTask(job).size,
                "tasks of $job that run after startup",
            )
        }

        fun leader() = simulation.leader() ?: error("no controller is leader, expected one")

        fun followers() = simulation.nodes - leader()

        /** Drops the messages between [a] and [b], in both directions. */
        fun partition(a: String, b: String, duration: Micros) {
            for ((from, to) in listOf(a to b, b to a)) {
                simulation.network.blockPath(from, to)
                clock.after(duration) { simulation.network.unblockPath(from, to) }
            }
        }

        /**
         * The key-value store refuses the controller [member], or all if it is null, and ends their
         * open watches.
         */
        fun makeStoreUnavailable(member: String?, duration: Micros) {
            simulation.store.startOutage(member, endWatches = true)
            clock.after(duration) { simulation.store.endOutage(member) }
        }

        fun runFor(duration: Micros) = simulation.run(clock.now + duration)

        fun cancel(job: String, controller: String? = null) = simulation.cancel(job, controller)

        /**
         * Checks that no invariant was violated, that all tasks of jobs that were not cancelled run
         * again, and that no task of a cancelled job runs.
         */
        fun checkOutcome(faultsEndedAt: Micros) {
            simulation.checkAtEnd(faultsEndedAt)
            assertEquals(emptyList(), simulation.violations(), "violated invariants")
            for (job in jobs) {
                if (invariants.finalStateOf(job) == "cancelled")
                    assertEquals(
                        0,
                        invariants.machineByTask(job).size,
                        "tasks of the cancelled $job that run at the end",
                    )
                else
                    assertEquals(
                        TASKS_PER_JOB,
                        invariants.machineByTask(job).size,
                        "tasks of $job that run at the end",
                    )
            }
        }

        /**
         * Checks that cancelled tasks end in time in this case: the key-value store refuses the
         * leader alone, [jobCount] jobs are cancelled through another controller meanwhile, and
         * then the store is unavailable to all controllers for longer than a cancellation may take.
         *
         * @param injectMoreFaults called with the jobs to cancel once the store refuses the leader
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
                "final state of $job before the outage for all controllers",
            )
            assertEquals(
                leader,
                simulation.leader(),
                "leader before the outage for all controllers",
            )
            makeStoreUnavailable(null, OUTAGE_DURATION)
            runFor(OUTAGE_DURATION)
            assertEquals(leader, simulation.leader(), "leader at the end of the outage")
            assertEquals(
                emptySet(),
                overdueJobs,
                "jobs that still had tasks on machines after the cancellation limit",
            )
            runFor(RECOVERY_TIME)
            checkOutcome(faultsEndedAt = clock.now - RECOVERY_TIME)
        }

        /**
         * Starts to collect the jobs that have tasks on machines after [CANCELLATION_LIMIT],
         * without the slack that the simulation's invariants allow. The returned set grows while
         * the simulation runs.
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
    fun `tasks cancelled while the store refuses the leader end in time in a following outage`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            checkCancellationsBeforeOutage(variant)
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `tasks cancelled before an outage end in time on machines that were unresponsive`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            checkCancellationsBeforeOutage(variant) { cancelled ->
                // Some machines resume just before their lease expires, some just after it.
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
    fun `tasks cancelled before an outage end in time although their start commands were delayed`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            for (worker in simulation.cloud.workers()) {
                simulation.commandDelays[worker.id] = clock.randomBetween(4.seconds, 13.seconds)
            }
            submit(1)
            // The placements are stored and the commands sent, but not all have arrived. Some
            // commands go out with the response to a heartbeat, which is not delayed.
            runFor(1500.milliseconds)
            assertTrue(
                invariants.machineByTask(jobs.last()).size < TASKS_PER_JOB,
                "all $TASKS_PER_JOB tasks run before the delayed start commands arrive",
            )
            checkCancellationsBeforeOutage(variant, jobCount = 1)
            // A task that is stopped while it waits for its image never runs, so start commands
            // that were carried out count as well.
            val startsAfterCancellation =
                invariants.startsAfterCancel + invariants.startsCarriedOutAfterCancel
            assertTrue(
                startsAfterCancellation > 0,
                "no start was carried out after the cancellation",
            )
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `a leader elected just before an outage keeps no task that was cancelled`(
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
            for (job in cancelled) assertEquals(
                "cancelled",
                invariants.finalStateOf(job),
                "final state of $job at the start of the outage",
            )
            runFor(OUTAGE_DURATION + 90.seconds)
            checkOutcome(faultsEndedAt = clock.now - 90.seconds)
        }

    /**
     * A leader that hears from all other controllers knows that none of them confirmed a
     * cancellation, so it decommissions no machine.
     */
    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `a leader that hears from all controllers keeps all tasks running in an outage`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            cancel(jobs.removeLast())
            runFor(6.seconds)
            val placementsBefore = jobs.associateWith { invariants.machineByTask(it) }
            makeStoreUnavailable(null, OUTAGE_DURATION)
            runFor(OUTAGE_DURATION)
            assertEquals(
                placementsBefore,
                jobs.associateWith { invariants.machineByTask(it) },
                "machines of the tasks after the outage",
            )
            runFor(RECOVERY_TIME)
            checkOutcome(faultsEndedAt = clock.now - RECOVERY_TIME)
        }

    @ParameterizedTest
    @MethodSource("variants")
    fun `cancellations take effect when the store is slow, then refuses the leader, then everyone`(
        variant: Variant
    ) =
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
            assertEquals(
                4,
                jobs.count { invariants.finalStateOf(it) == "cancelled" },
                "cancelled jobs",
            )
            checkOutcome(faultsEndedAt = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `a leader partitioned from peers and store confirms no cancellation, its successor does`(
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
            // The partitioned leader cannot store this cancellation and must not confirm it.
            cancel(shuffledJobs[2], controller = formerLeader)
            runFor(60.seconds)
            for (job in shuffledJobs.take(2)) assertEquals(
                "cancelled",
                invariants.finalStateOf(job),
                "final state of $job, cancelled through the new leader",
            )
            assertEquals(
                null,
                invariants.finalStateOf(shuffledJobs[2]),
                "final state of the job cancelled through the partitioned leader",
            )
            runFor(80.seconds)
            checkOutcome(faultsEndedAt = clock.now - 60.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `cancellations take effect while leaders change ten times, also during an outage`(
        variant: Variant
    ) =
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
                // In the outage the leader key stays as it is, while the controllers that could be
                // elected next crash and restart.
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(200.milliseconds, 5.seconds))
                }
                runFor(clock.randomBetween(5.seconds, 7.seconds))
            }
            assertTrue(
                tokens.size > 10,
                "more than 10 leaders expected, but there were ${tokens.size}",
            )
            runFor(80.seconds)
            assertEquals(
                4,
                jobs.count { invariants.finalStateOf(it) == "cancelled" },
                "cancelled jobs",
            )
            checkOutcome(faultsEndedAt = clock.now - 70.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `cancellations take effect after all controllers were down for longer than a lease`(
        variant: Variant
    ) =
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
            assertEquals(
                2,
                jobs.count { invariants.finalStateOf(it) == "cancelled" },
                "cancelled jobs",
            )
            checkOutcome(faultsEndedAt = clock.now - 76.seconds)
        }

    @ParameterizedTest
    @MethodSource("variantsWithPeers")
    fun `the only controller that restarts after two changes of leader leads by itself`(
        variant: Variant
    ) =
        OutageScenario(variant).run {
            startServices()
            val firstLeader = leader()
            val returnsWithinSecond = variant.seed % 2 == 0L
            cancel(jobs[0])
            simulation.crash(firstLeader, 300.milliseconds)
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
                if (node == firstLeader) firstDowntime else 40.seconds,
            )
            runFor(30.seconds)
            assertEquals(firstLeader, simulation.leader(), "leader while the others are down")
            runFor(100.seconds)
            assertEquals(
                3,
                jobs.count { invariants.finalStateOf(it) == "cancelled" },
                "cancelled jobs",
            )
            checkOutcome(faultsEndedAt = clock.now - 85.seconds)
        }

    companion object {
        private const val TASKS_PER_JOB = 3

        /** Time of the simulation by which all tasks must run for the first time. */
        private val START_DEADLINE = 80.seconds

        /** Time for which the key-value store refuses the leader before it refuses all. */
        private val LEADER_ONLY_OUTAGE = 1500.milliseconds

        /** Longer than [CANCELLATION_LIMIT]. */
        private val OUTAGE_DURATION = 50.seconds

        /** Time without faults after which all jobs must run again. */
        private val RECOVERY_TIME = 60.seconds

        /** Another range can be set: `-DargLine="-Dwardmux.meetings=1-100"`. */
        private val SEEDS = seedsFrom("wardmux.meetings", "1-3")

        @JvmStatic
        fun variants(): List<Variant> =
            SEEDS.flatMap { seed ->
                listOf(false, true).flatMap { usesForwarding ->
                    listOf(false, true).map { isolatesLeader ->
                        Variant(seed, usesForwarding, isolatesLeader)
                    }
                }
            }

        /** The variants in which the leader reaches the other controllers. */
        @JvmStatic fun variantsWithPeers(): List<Variant> = variants().filter { !it.isolatesLeader }
    }
}
