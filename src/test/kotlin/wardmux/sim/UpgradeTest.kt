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
 * The version before and this one serve side by side while the controllers are rolled one after the
 * other. The version before is played by this code without `state.next`, which that version does
 * not know; what it stores and sends is the same byte for byte, as the format tests show. No gang
 * is submitted before all controllers are new. An old leader may be refused what it writes under
 * the lower limits, and pages that are larger than these may be stored: neither breaks a rule.
 */
class UpgradeTest {
    private enum class LimitsLowered {
        BEFORE_UPGRADE,
        DURING_UPGRADE,
        AFTER_UPGRADE,
    }

    private class Scenario(seed: Long, operators: OperatorSettings = OperatorSettings()) {
        val simulation = ClusterSimulation(seed, operators = operators)
        val clock = simulation.clock
        val jobs = ArrayList<JobSpec>()

        /** Members whose processes have the new version, and since when. */
        private val upgradedAt = HashMap<String, Micros>()

        /** Whether the leader was new, each time that another process led. */
        val leadersUpgraded = ArrayList<Boolean>()

        /** What was refused for its size although a new process sent it. */
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
                // What the old process sent may arrive long after its end.
                val since = upgradedAt[rejection.substringAfterLast(' ')] ?: continue
                if (clock.now - since > MAX_MESSAGE_DELAY) rejectedFromUpgraded.add(rejection)
            }
            rejectionsSeen = simulation.store.rejectedForSize.size
        }

        /** Killed, and back with the new version. */
        fun upgrade(member: String) {
            upgradedAt.getOrPut(member) { clock.now }
            simulation.crash(member, RESTART_TIME)
        }

        /** Dies before its turn, or after it: it comes back as it was. */
        fun crash(member: String, downtime: Micros) = simulation.crash(member, downtime)

        /** All but [member] end for long enough for it to lead. */
        fun makeLeader(member: String) {
            for (other in simulation.nodes - member) crash(other, HANDOVER_DOWNTIME)
        }

        /** One after the other, in any order, from [from] on. */
        fun scheduleUpgrades(from: Micros, interval: Micros) {
            for ((i, member) in simulation.nodes.shuffled(clock.random).withIndex()) {
                clock.after(from + Micros(interval.value * i)) { upgrade(member) }
            }
        }

        fun submit() {
            val random = simulation.randomJob()
            val kind = clock.random.nextDouble()
            val job =
                when {
                    allUpgraded && kind < 0.3 -> gangJob(random)
                    // So many on one page that its record is larger than a value may be later.
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

        /** What meets the roll, one of each at least once over the seeds. */
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

        private fun makeStoreUnavailable(member: String?, duration: Micros) {
            simulation.store.startOutage(member)
            clock.after(duration) { simulation.store.endOutage(member) }
        }

        /** A zone with a controller in it, without all others. */
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

        private fun dropMessages(from: String, to: String, duration: Micros) {
            simulation.network.blockPath(from, to)
            clock.after(duration) { simulation.network.unblockPath(from, to) }
        }

        private fun delayStoreMessages(delay: Micros, duration: Micros) {
            simulation.network.extraLatency["state"] = delay
            clock.after(duration) { simulation.network.extraLatency.remove("state") }
        }

        /** Every third of them, so that three seeds in a row meet each once. */
        fun scheduleFaults(remainder: Int, from: Micros, interval: Micros) {
            val selectedFaults =
                faults.filterIndexed { i, _ -> i % 3 == remainder }.shuffled(clock.random)
            for ((i, fault) in selectedFaults.withIndex()) {
                clock.after(from + Micros(interval.value * i)) { fault() }
            }
        }

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

        fun runAndCheck() {
            simulation.run(SCENARIO_END)
            simulation.checkAtEnd(FAULTS_END)
            assertEquals(emptyList(), simulation.violations())
            assertEquals(emptyList(), rejectedFromUpgraded)
            assertTrue(allUpgraded, "some are still old")
            assertTrue(simulation.invariants.starts > 0, "nothing ran")
            val open = jobs.filter { simulation.invariants.finalStateOf(it.id) == null }
            assertEquals(emptyList(), open.map { "${it.id} ${it.kind}" })
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken while both versions serve, whatever fails`(seed: Long) {
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
    fun `leadership passes from old to new, back to old and to new again`() {
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
        assertEquals(listOf(false, true, false, true), versionChanges)
        assertTrue(
            scenario.simulation.store.rejectedForSize.isNotEmpty(),
            "the old leader was refused nothing",
        )
    }

    companion object {
        private val LOWER_LIMITS = AnnouncedStoreLimits(writeRps = 18.0, valueKb = 1.0, txnOps = 4)
        private val RESTART_TIME = 3.seconds

        /** Longer than the leader's lease and an election. */
        private val HANDOVER_DOWNTIME = 12.seconds

        /** Messages come up to 45 s late, and transactions are carried out up to 12 s later. */
        private val MAX_MESSAGE_DELAY = 60.seconds

        /** Troubles and late messages are over. */
        private val FAULTS_END = 200.seconds
        private val SCENARIO_END = 330.seconds

        /** Others for a longer search: `-DargLine="-Dwardmux.upgrade=100-500"`. */
        @JvmStatic
        fun seeds(): List<Long> {
            val range = (System.getProperty("wardmux.upgrade") ?: "1-12").split('-')
            return (range.first().toLong()..range.last().toLong()).toList()
        }
    }
}
