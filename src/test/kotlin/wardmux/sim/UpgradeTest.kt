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
    private enum class LimitsFall {
        BEFORE_THE_ROLL,
        DURING_THE_ROLL,
        AFTER_THE_ROLL,
    }

    private class Scenario(seed: Long, operators: OperatorSettings = OperatorSettings()) {
        val simulation = ClusterSimulation(seed, operators = operators)
        val clock = simulation.clock
        val jobs = ArrayList<JobSpec>()

        /** Members whose processes have the new version, and since when. */
        private val newSince = HashMap<String, Micros>()

        /** Whether the leader was new, each time that another process led. */
        val leaders = ArrayList<Boolean>()

        /** What was refused for its size although a new process sent it. */
        private val newBeyond = ArrayList<String>()
        private var lastToken: Long? = null
        private var seenBeyond = 0

        init {
            simulation.announcedLimitsOf = { member -> LOWER.takeIf { member in newSince } }
            clock.every(50.milliseconds) { watch() }
        }

        val allNew: Boolean
            get() = newSince.size == simulation.nodes.size

        private fun watch() {
            val token = simulation.store.version("leader")
            val leader = simulation.leader()
            if (leader != null && token != lastToken) {
                lastToken = token
                leaders.add(leader in newSince)
            }
            for (what in simulation.store.rejectedForSize.drop(seenBeyond)) {
                // What the old process sent may arrive long after its end.
                val since = newSince[what.substringAfterLast(' ')] ?: continue
                if (clock.now - since > LAST_MESSAGES) newBeyond.add(what)
            }
            seenBeyond = simulation.store.rejectedForSize.size
        }

        /** Killed, and back with the new version. */
        fun renew(member: String) {
            newSince.getOrPut(member) { clock.now }
            simulation.crash(member, RESTART)
        }

        /** Dies before its turn, or after it: it comes back as it was. */
        fun crash(member: String, back: Micros) = simulation.crash(member, back)

        /** All but [member] end for long enough for it to lead. */
        fun lead(member: String) {
            for (other in simulation.nodes - member) crash(other, HAND_OVER)
        }

        /** One after the other, in any order, from [from] on. */
        fun roll(from: Micros, apart: Micros) {
            for ((i, member) in simulation.nodes.shuffled(clock.random).withIndex()) {
                clock.after(from + Micros(apart.value * i)) { renew(member) }
            }
        }

        fun submit() {
            val random = simulation.randomJob()
            val kind = clock.random.nextDouble()
            val job =
                when {
                    allNew && kind < 0.3 -> gang(random)
                    // So many on one page that its record is larger than a value may be later.
                    kind < 0.5 -> wide(random)
                    else -> random.takeIf { it.kind != JobKind.GANG } ?: wide(random)
                }
            jobs.add(job)
            simulation.submit(job)
            if (job.kind == JobKind.SERVICE || clock.chance(0.2)) {
                clock.after(clock.randomBetween(1.seconds, 60.seconds)) {
                    simulation.cancel(job.id)
                }
            }
        }

        private fun gang(like: JobSpec) =
            like.copy(
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

        private fun wide(like: JobSpec) =
            like.copy(
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

        private fun someNode() = simulation.nodes.random(clock.random)

        /** What meets the roll, one of each at least once over the seeds. */
        private val troubles: List<() -> Unit> =
            listOf(
                { crash(someNode(), clock.randomBetween(200.milliseconds, 6.seconds)) },
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
                { outage(null, clock.randomBetween(2.seconds, 20.seconds)) },
                {
                    simulation.leader()?.let {
                        outage(it, clock.randomBetween(4.seconds, 30.seconds))
                    }
                },
                { outage(someNode(), clock.randomBetween(4.seconds, 30.seconds)) },
                { cutZone(clock.randomBetween(5.seconds, 30.seconds)) },
                { slowState(60.milliseconds, 20.seconds) },
                { lead(someNode()) },
            )

        private fun outage(member: String?, length: Micros) {
            simulation.store.startOutage(member)
            clock.after(length) { simulation.store.endOutage(member) }
        }

        /** A zone with a controller in it, without all others. */
        private fun cutZone(length: Micros) {
            val zone = listOf("a", "b", "c").random(clock.random)
            val inside = someNode()
            val machines = simulation.cloud.workers().filter { it.zone == zone }.map { it.id }
            for (host in machines + inside) {
                for (other in simulation.nodes - inside + "state" + "cloud" + "user") {
                    part(host, other, length)
                    part(other, host, length)
                }
            }
        }

        private fun part(from: String, to: String, length: Micros) {
            simulation.network.blockPath(from, to)
            clock.after(length) { simulation.network.unblockPath(from, to) }
        }

        private fun slowState(by: Micros, length: Micros) {
            simulation.network.extraLatency["state"] = by
            clock.after(length) { simulation.network.extraLatency.remove("state") }
        }

        /** Every third of them, so that three seeds in a row meet each once. */
        fun troubles(first: Int, from: Micros, apart: Micros) {
            val mine = troubles.filterIndexed { i, _ -> i % 3 == first }.shuffled(clock.random)
            for ((i, trouble) in mine.withIndex()) {
                clock.after(from + Micros(apart.value * i)) { trouble() }
            }
        }

        fun lateMessages(until: Micros) {
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

        fun end() {
            simulation.run(END)
            simulation.checkAtEnd(CALM)
            assertEquals(emptyList(), simulation.violations())
            assertEquals(emptyList(), newBeyond)
            assertTrue(allNew, "some are still old")
            assertTrue(simulation.invariants.starts > 0, "nothing ran")
            val open = jobs.filter { simulation.invariants.finalStateOf(it.id) == null }
            assertEquals(emptyList(), open.map { "${it.id} ${it.kind}" })
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule is broken while both versions serve, whatever fails`(seed: Long) {
        val scenario = Scenario(seed, forwardingSettings(seed % 2 == 0L))
        val fall = LimitsFall.entries[(seed / 3 % 3).toInt()]
        val at =
            when (fall) {
                LimitsFall.BEFORE_THE_ROLL -> scenario.clock.randomBetween(10.seconds, 20.seconds)
                LimitsFall.DURING_THE_ROLL -> scenario.clock.randomBetween(35.seconds, 60.seconds)
                LimitsFall.AFTER_THE_ROLL -> scenario.clock.randomBetween(90.seconds, 110.seconds)
            }
        scenario.clock.after(at) { scenario.simulation.store.lowerLimits(LOWER) }
        for (second in 2..130 step 7) scenario.clock.after(second.seconds) { scenario.submit() }
        scenario.lateMessages(until = 130.seconds)
        scenario.roll(from = 25.seconds, apart = 25.seconds)
        scenario.troubles((seed % 3).toInt(), from = 28.seconds, apart = 17.seconds)
        scenario.end()
    }

    @Test
    fun `leadership passes from old to new, back to old and to new again`() {
        val scenario = Scenario(seed = 5)
        val (first, second, third) = scenario.simulation.nodes
        val clock = scenario.clock
        for (at in 2..120 step 7) clock.after(at.seconds) { scenario.submit() }
        scenario.lateMessages(until = 120.seconds)
        clock.after(15.seconds) { scenario.renew(second) }
        clock.after(25.seconds) { scenario.lead(second) }
        clock.after(32.seconds) { scenario.simulation.store.lowerLimits(LOWER) }
        clock.after(50.seconds) { scenario.lead(first) }
        clock.after(75.seconds) { scenario.lead(second) }
        clock.after(95.seconds) { scenario.renew(first) }
        clock.after(100.seconds) { scenario.renew(third) }
        scenario.end()
        val turns =
            scenario.leaders.filterIndexed { i, new -> i == 0 || scenario.leaders[i - 1] != new }
        assertEquals(listOf(false, true, false, true), turns)
        assertTrue(
            scenario.simulation.store.rejectedForSize.isNotEmpty(),
            "the old leader was refused nothing",
        )
    }

    companion object {
        private val LOWER = AnnouncedStoreLimits(writeRps = 18.0, valueKb = 1.0, txnOps = 4)
        private val RESTART = 3.seconds

        /** Longer than the leader's lease and an election. */
        private val HAND_OVER = 12.seconds

        /** Messages come up to 45 s late, and transactions are carried out up to 12 s later. */
        private val LAST_MESSAGES = 60.seconds

        /** Troubles and late messages are over. */
        private val CALM = 200.seconds
        private val END = 330.seconds

        /** Others for a longer search: `-DargLine="-Dwardmux.upgrade=100-500"`. */
        @JvmStatic
        fun seeds(): List<Long> {
            val range = (System.getProperty("wardmux.upgrade") ?: "1-12").split('-')
            return (range.first().toLong()..range.last().toLong()).toList()
        }
    }
}
