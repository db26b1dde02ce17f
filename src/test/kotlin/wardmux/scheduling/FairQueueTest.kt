package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.model.Cost
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Guards against teams that get more or less than their share: by wrong tags or weights, by credit
 * saved while idle, by charges that are not corrected, or by accounts lost when the leader changes.
 */
class FairQueueTest {
    private val oneCpuSecond = Cost(1_000_000)

    /**
     * A queue in which usage does not lower weights: the usage that halves a weight is never
     * reached.
     */
    private fun queueWithConstantWeights(vararg teams: Pair<String, Double>) =
        FairQueue(mapOf(*teams), 600.seconds, normSeconds = 1e9)

    private fun FairQueue.chargeNextTeam(teams: List<String>, wallTime: Micros): String {
        // Ties go to the team with the higher weight, as in the worked example.
        val team = teams.minWith(compareBy({ startTag(it) }, { -weight(it, wallTime) }))
        charge(team, oneCpuSecond, wallTime)
        return team
    }

    @Test
    fun `the paper's worked example dispatches sixteen gold and two free jobs of eighteen`() {
        val queue = queueWithConstantWeights("gold" to 8.0, "free" to 1.0)
        val order = List(18) { queue.chargeNextTeam(listOf("gold", "free"), Micros.ZERO) }
        assertEquals(16, order.count { it == "gold" })
        assertEquals(listOf(1, 10), order.indices.filter { order[it] == "free" })
        assertEquals(2_000_000, queue.startTag("gold"))
        assertEquals(2_000_000, queue.startTag("free"))
    }

    @Test
    fun `usage halves in a half-life whether it decays in one step or in many`() {
        val queue = FairQueue(mapOf("a" to 4.0), 100.seconds, 10.0)
        queue.charge("a", oneCpuSecond, Micros.ZERO)
        val other = FairQueue(mapOf("a" to 4.0), 100.seconds, 10.0)
        other.charge("a", oneCpuSecond, Micros.ZERO)
        for (t in 1..20) other.usage("a", (t * 5).seconds)
        assertEquals(500_000.0, queue.usage("a", 100.seconds), 1e-6)
        assertEquals(500_000.0, other.usage("a", 100.seconds), 1e-3)
    }

    @Test
    fun `usage equal to the norm halves the weight`() {
        val queue = FairQueue(mapOf("a" to 4.0), 1_000_000.seconds, normSeconds = 10.0)
        assertEquals(4.0, queue.weight("a", Micros.ZERO), 1e-9)
        queue.charge("a", Cost(40_000_000), Micros.ZERO)
        assertEquals(2.0, queue.weight("a", Micros.ZERO), 1e-9)
    }

    @Test
    fun `a charge is settled with the weight at dispatch and not with the current weight`() {
        val queue = FairQueue(mapOf("a" to 4.0), 600.seconds, normSeconds = 10.0)
        val charge = queue.charge("a", Cost(40_000_000), Micros.ZERO)
        assertEquals(10_000_000, queue.startTag("a"))
        queue.settle("a", charge, Cost(80_000_000), Micros.ZERO)
        assertEquals(20_000_000, queue.startTag("a"))
    }

    @Test
    fun `the virtual time never goes back and an idle team starts at it`() {
        val queue = queueWithConstantWeights("a" to 1.0, "b" to 1.0)
        repeat(5) { queue.charge("a", oneCpuSecond, Micros.ZERO) }
        val before = queue.virtualTime
        val charge = queue.charge("a", oneCpuSecond, Micros.ZERO)
        queue.settle("a", charge, Cost(0), Micros.ZERO)
        assertTrue(
            queue.virtualTime >= before,
            "expected at least $before, got ${queue.virtualTime}",
        )
        queue.advanceToHighestTag()
        assertEquals(5_000_000, queue.startTag("b"))
        queue.charge("b", oneCpuSecond, Micros.ZERO)
        assertEquals(5_000_000, queue.virtualTime)
    }

    @Test
    fun `the next leader reads the stored virtual time, tags and usage`() {
        val queue = queueWithConstantWeights("a" to 2.0, "b" to 1.0)
        queue.charge("a", oneCpuSecond, Micros.ZERO)
        queue.charge("b", Cost(7_000_000), Micros.ZERO)
        val next = queueWithConstantWeights("a" to 2.0, "b" to 1.0)
        next.load(queue.toJson(Micros.ZERO, maxBytes = 2048))
        assertEquals(queue.virtualTime, next.virtualTime)
        for (team in listOf("a", "b")) {
            assertEquals(queue.startTag(team), next.startTag(team))
            assertEquals(queue.usage(team, 9.seconds), next.usage(team, 9.seconds), 1e-6)
        }
    }

    @Test
    fun `refunding a charge restores the finish tag`() {
        val queue = queueWithConstantWeights("a" to 3.0)
        queue.charge("a", oneCpuSecond, Micros.ZERO)
        val before = queue.startTag("a")
        val charge = queue.charge("a", Cost(9_000_000), Micros.ZERO)
        queue.refund("a", charge, Micros.ZERO)
        assertEquals(before, queue.startTag("a"))
    }

    @Test
    fun `teams with the lowest finish tags are left out if a value cannot hold all teams`() {
        val names = List(100) { "team-$it" }
        val many = FairQueue(names.associateWith { 10.0 }, 600.seconds, 600.0)
        for ((i, name) in names.withIndex()) many.charge(
            name,
            Cost(10_000_000L * (i + 1)),
            Micros.ZERO,
        )
        val json = many.toJson(Micros.ZERO, maxBytes = 2048).toString()
        assertTrue(json.length in 1_800..2048, "expected 1800 to 2048 bytes, got ${json.length}")
        assertTrue("team-99" in json && "\"team-3\"" !in json, json)
    }
}
