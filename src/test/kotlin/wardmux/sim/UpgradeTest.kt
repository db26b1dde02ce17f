package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Guards against violated invariants during a rolling upgrade, in which controllers of the previous
 * and of this version run side by side, while the key-value store lowers its limits and other
 * faults occur.
 *
 * The previous version is simulated by this code without `state.next`, which it does not know. What
 * it stores and sends is the same byte for byte, as the format tests show. No gang is submitted
 * before all controllers are upgraded. Under the lower limits the store may reject writes of a
 * leader of the previous version, and larger placement records may be stored already. Neither
 * violates an invariant.
 */
class UpgradeTest {
    /** When the key-value store lowers its limits. */
    private enum class LimitsLowered {
        BEFORE_UPGRADE,
        DURING_UPGRADE,
        AFTER_UPGRADE,
    }

    private class Scenario(seed: Long, operators: OperatorSettings = OperatorSettings()) {
        val simulation = ClusterSimulation(seed, operators = operators)
        val clock = simulation.clock
        val jobs = ArrayList<JobSpec>()

        /** By controller: when its upgrade began. Controllers of the old version are absent. */
        private val upgradedAt = HashMap<String, Micros>()

        /** For each leader in turn: whether it had the new version. */
        val leadersUpgraded = ArrayList<Boolean>()

        /**
         * Writes that the store rejected for their size although an upgraded controller sent them.
         */
        private val rejectedFromUpgraded = ArrayList<String>()
        private var lastToken: Long? = null
        private var rejectionsSeen = 0

        init {
            simulation.announcedLimitsOf = { member ->
                LOWER_LIMITS.takeIf { member in upgradedAt }
            }
            clock.every(50.milliseconds) { recordLeadersAndRejections() }
        }

        val allUpgraded: Boolean
            get() = upgradedAt.size == simulation.nodes.size

        private fun recordLeadersAndRejections() {
            val token = simulation.store.version("leader")
            val leader = simulation.leader()
            if (leader != null && token != lastToken) {
                lastToken = token
                leadersUpgraded.add(leader in upgradedAt)
            }
            for (rejection in simulation.store.rejectedForSize.drop(rejectionsSeen)) {
                // Writes sent before the upgrade may arrive long after it.
                val since = upgradedAt[rejection.substringAfterLast(' ')] ?: continue
                if (clock.now - since > MAX_MESSAGE_DELAY) rejectedFromUpgraded.add(rejection)
            }
            rejectionsSeen = simulation.store.rejectedForSize.size
        }

        /** Crashes [member] and restarts it with the new version. */
        fun upgrade(member: String) {
            upgradedAt.getOrPut(member) { clock.now }
            simulation.crash(member, RESTART_TIME)
        }

        /** Crashes [member] and restarts it with the version that it had. */
        fun crash(member: String, downtime: Micros) = simulation.crash(member, downtime)

        /** Crashes the other controllers for long enough for [member] to become leader. */
        fun makeLeader(member: String) {
            for (other in simulation.nodes - member) crash(other, HANDOVER_DOWNTIME)
        }

        /** Upgrades the controllers in random order, one each [interval] from [from] on. */
        fun scheduleUpgrades(from: Micros, interval: Micros) {
            for ((i, member) in simulation.nodes.shuffled(clock.random).withIndex()) {
                clock.after(from + Micros(interval.value * i)) { upgrade(member) }
            }
        }

        /** Submits a random job, and cancels services and some others up to 60 s later. */
        fun submit() {
            val random = simulation.randomJob()
            val kind = clock.random.nextDouble()
            val job =
                when {
                    allUpgraded && kind < 0.3 -> gangJob(random)
                    kind < 0.5 -> largePageJob(random)
                    else -> random.takeIf { it.kind != JobKind.GANG } ?: largePageJob(random)
                }
            jobs.add(job)
            simulation.submit(job)
            if (job.kind == JobKind.SERVICE || clock.chance(0.2)) {
                clock.after(clock.randomBetween(1.seconds, 60.seconds)) {
                    simulation.cancel(job.id)
                }
            }
        }

        private fun gangJob(template: JobSpec) =
            template.copy(
                jobClass = "gang",
                kind = JobKind.GANG,
                tasks = 2 + clock.random.nextInt(5),
                cpus = 2.0,
                zone = null,
                oneZone = clock.chance(0.7),
                spread = false,
                estimateS = 8.0,
                checkpointS = 5.0,
                saveS = 2.0,
            )

        /**
         * A job with so many tasks that its placement record is above the lower limit on values.
         */
        private fun largePageJob(template: JobSpec) =
            template.copy(
                kind = JobKind.ARRAY,
                priority = PriorityClass.PROD,
                tasks = 120,
                cpus = 0.25,
                memoryGb = 0.1,
                zone = null,
                oneZone = false,
                spread = false,
                estimateS = clock.randomBetween(4.seconds, 25.seconds).inSeconds,
            )

        private fun randomNode() = simulation.nodes.random(clock.random)

        /** Faults during the upgrade. Over the seeds each is injected at least once. */
        private val faults: List<() -> Unit> =
            listOf(
                { crash(randomNode(), clock.randomBetween(200.milliseconds, 6.seconds)) },
                {
                    simulation.leader()?.let {
                        crash(it, clock.randomBetween(200.milliseconds, 3.seconds))
                    }
                },
                {
                    for (node in simulation.nodes) crash(
                        node,
                        clock.randomBetween(1.seconds, 4.seconds),
                    )
                },
                { makeStoreUnavailable(null, clock.randomBetween(2.seconds, 20.seconds)) },
                {
                    simulation.leader()?.let {
                        makeStoreUnavailable(it, clock.randomBetween(4.seconds, 30.seconds))
                    }
                },
                { makeStoreUnavailable(randomNode(), clock.randomBetween(4.seconds, 30.seconds)) },
                { partitionZone(clock.randomBetween(5.seconds, 30.seconds)) },
                { delayStoreMessages(60.milliseconds, 20.seconds) },
                { makeLeader(randomNode()) },
            )

        /** The key-value store refuses the controller [member], or all if it is null. */
        private fun makeStoreUnavailable(member: String?, duration: Micros) {
            simulation.store.startOutage(member)
            clock.after(duration) { simulation.store.endOutage(member) }
        }

        /**
         * Partitions the machines of a random zone and one controller from the other controllers,
         * the key-value store, the cloud and the users.
         */
        private fun partitionZone(duration: Micros) {
            val zone = listOf("a", "b", "c").random(clock.random)
            val inside = randomNode()
            val machines = simulation.cloud.workers().filter { it.zone == zone }.map { it.id }
            for (host in machines + inside) {
                for (other in simulation.nodes - inside + "state" + "cloud" + "user") {
                    dropMessages(host, other, duration)
                    dropMessages(other, host, duration)
                }
            }
        }

        /** Drops the messages sent from [from] to [to]; the reverse direction works. */
        private fun dropMessages(from: String, to: String, duration: Micros) {
            simulation.network.blockPath(from, to)
            clock.after(duration) { simulation.network.unblockPath(from, to) }
        }

        /** Delays all messages to the key-value store by [delay]. */
        private fun delayStoreMessages(delay: Micros, duration: Micros) {
            simulation.network.extraLatency["state"] = delay
            clock.after(duration) { simulation.network.extraLatency.remove("state") }
        }

        /**
         * Injects every third fault, in random order, one each [interval] from [from] on. Seeds
         * with different remainders of a division by three inject different faults, so that three
         * seeds in a row inject each fault once.
         */
        fun scheduleFaults(remainder: Int, from: Micros, interval: Micros) {
            val selectedFaults =
                faults.filterIndexed { i, _ -> i % 3 == remainder }.shuffled(clock.random)
            for ((i, fault) in selectedFaults.withIndex()) {
                clock.after(from + Micros(interval.value * i)) { fault() }
            }
        }

        /**
         * Until [until], delays some messages and transactions for long and delivers some messages
         * twice.
         */
        fun delayAndDuplicateMessages(until: Micros) {
            simulation.network.longDelayProbability = 0.02
            simulation.network.duplicateProbability = 0.1
            simulation.network.duplicateHeartbeatProbability = 0.1
            simulation.store.delayProbability = 0.02
            clock.after(until) {
                simulation.network.longDelayProbability = 0.0
                simulation.network.duplicateProbability = 0.0
                simulation.network.duplicateHeartbeatProbability = 0.0
                simulation.store.delayProbability = 0.0
            }
        }

        /**
         * Runs the scenario and checks that no invariant was violated, all controllers are
         * upgraded, none of these exceeded the limits, and every job ended.
         */
        fun runAndCheck() {
            simulation.run(SCENARIO_END)
            simulation.checkAtEnd(FAULTS_END)
            assertEquals(emptyList(), simulation.violations(), "violated invariants")
            assertEquals(
                emptyList(),
                rejectedFromUpgraded,
                "writes of upgraded controllers rejected for their size",
            )
            assertTrue(allUpgraded, "not all controllers are upgraded at the end")
            assertTrue(simulation.invariants.starts > 0, "no task was started")
            val open = jobs.filter { simulation.invariants.finalStateOf(it.id) == null }
            assertEquals(
                emptyList(),
                open.map { "${it.id} ${it.kind}" },
                "jobs that have not ended",
            )
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `invariants hold during a rolling upgrade with faults`(seed: Long) {
        val scenario = Scenario(seed, forwardingSettings(seed % 2 == 0L))
        val limitsLowered = LimitsLowered.entries[(seed / 3 % 3).toInt()]
        val at =
            when (limitsLowered) {
                LimitsLowered.BEFORE_UPGRADE -> scenario.clock.randomBetween(10.seconds, 20.seconds)
                LimitsLowered.DURING_UPGRADE -> scenario.clock.randomBetween(35.seconds, 60.seconds)
                LimitsLowered.AFTER_UPGRADE -> scenario.clock.randomBetween(90.seconds, 110.seconds)
            }
        scenario.clock.after(at) { scenario.simulation.store.lowerLimits(LOWER_LIMITS) }
        for (second in 2..130 step 7) scenario.clock.after(second.seconds) { scenario.submit() }
        scenario.delayAndDuplicateMessages(until = 130.seconds)
        scenario.scheduleUpgrades(from = 25.seconds, interval = 25.seconds)
        scenario.scheduleFaults((seed % 3).toInt(), from = 28.seconds, interval = 17.seconds)
        scenario.runAndCheck()
    }

    @Test
    fun `leadership can move to an upgraded controller, back to an old one and on to a new one`() {
        val scenario = Scenario(seed = 5)
        val (first, second, third) = scenario.simulation.nodes
        val clock = scenario.clock
        for (at in 2..120 step 7) clock.after(at.seconds) { scenario.submit() }
        scenario.delayAndDuplicateMessages(until = 120.seconds)
        clock.after(15.seconds) { scenario.upgrade(second) }
        clock.after(25.seconds) { scenario.makeLeader(second) }
        clock.after(32.seconds) { scenario.simulation.store.lowerLimits(LOWER_LIMITS) }
        clock.after(50.seconds) { scenario.makeLeader(first) }
        clock.after(75.seconds) { scenario.makeLeader(second) }
        clock.after(95.seconds) { scenario.upgrade(first) }
        clock.after(100.seconds) { scenario.upgrade(third) }
        scenario.runAndCheck()
        val versionChanges =
            scenario.leadersUpgraded.filterIndexed { i, new ->
                i == 0 || scenario.leadersUpgraded[i - 1] != new
            }
        assertEquals(
            listOf(false, true, false, true),
            versionChanges,
            "whether each next version that led was new",
        )
        assertTrue(
            scenario.simulation.store.rejectedForSize.isNotEmpty(),
            "the store rejected no write of an old leader for its size",
        )
    }

    companion object {
        private val LOWER_LIMITS = AnnouncedStoreLimits(writeRps = 18.0, valueKb = 1.0, txnOps = 4)
        private val RESTART_TIME = 3.seconds

        /** Longer than the lease of the leader and an election together. */
        private val HANDOVER_DOWNTIME = 12.seconds

        /**
         * Messages arrive up to 45 s late, and the key-value store commits delayed transactions up
         * to 12 s after that.
         */
        private val MAX_MESSAGE_DELAY = 60.seconds

        /** Time of the simulation by which all faults and delayed messages are over. */
        private val FAULTS_END = 200.seconds
        private val SCENARIO_END = 330.seconds

        /** Another range can be set: `-DargLine="-Dwardmux.upgrade=100-500"`. */
        @JvmStatic fun seeds(): List<Long> = seedsFrom("wardmux.upgrade", "1-12")
    }
}
