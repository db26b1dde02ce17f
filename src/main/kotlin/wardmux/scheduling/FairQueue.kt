package wardmux.scheduling

import kotlin.math.floor
import kotlin.math.log10
import kotlin.math.pow
import kotlin.math.roundToLong
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.logging.logger
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Micros
import wardmux.serialization.jsonBytes
import wardmux.serialization.lenientJson

@Serializable
private class TagsWire(
    @SerialName("clock") val clock: Long,
    @SerialName("at") val at: Long,
    @SerialName("teams") val teams: Map<String, AccountWire>,
)

@Serializable
private class AccountWire(@SerialName("tag") val tag: Long, @SerialName("usage") val usage: Double)

/**
 * Start-time Fair Queuing over teams. A dispatch starts at max(clock, the team's finish tag); its
 * cost by the team's weight is added to the tag; the clock rises to the start tag and never goes
 * back. Decayed usage lowers the weight.
 */
class FairQueue(
    private val guarantees: Map<String, Double>,
    private val halfLife: Micros,
    /** Usage that halves the weight, in CPU-seconds for each CPU of the guarantee. */
    private val normSeconds: Double,
) {
    private class Account {
        var finishTag = 0L
        var usage = 0.0
        var readAt = Micros.ZERO
    }

    private val accounts = HashMap<String, Account>()
    var clock = 0L
        private set

    private fun baseWeight(team: String) = maxOf(1.0, guarantees[team] ?: 1.0)

    private fun account(team: String, wall: Micros): Account {
        val account = accounts.getOrPut(team) { Account().also { it.readAt = wall } }
        val elapsed = wall - account.readAt
        if (elapsed > Micros.ZERO) {
            account.usage *= 2.0.pow(-elapsed.value.toDouble() / halfLife.value)
            account.readAt = wall
        }
        return account
    }

    fun usage(team: String, wall: Micros): Double = account(team, wall).usage

    fun weight(team: String, wall: Micros): Double {
        val norm = normSeconds * 1e6 * baseWeight(team)
        val weight = baseWeight(team) * 2.0.pow(-account(team, wall).usage / norm)
        return threeDigits(weight.coerceAtLeast(MIN_WEIGHT))
    }

    /** Rounded, so that tasks placed together are charged alike and their record says it once. */
    private fun threeDigits(value: Double): Double {
        val unit = 10.0.pow(2 - floor(log10(value)))
        return (value * unit).roundToLong() / unit
    }

    fun startTag(team: String): Long = maxOf(clock, accounts[team]?.finishTag ?: 0L)

    fun charge(team: String, cost: Cost, wall: Micros): Charge {
        val weight = weight(team, wall)
        val account = account(team, wall)
        val start = startTag(team)
        account.finishTag = start + (cost.value / weight).roundToLong()
        account.usage += cost.value
        clock = maxOf(clock, start)
        return Charge(cost, weight)
    }

    /** The step that was taken with the weight at dispatch is corrected with that same weight. */
    fun settle(team: String, charge: Charge, actual: Cost, wall: Micros) {
        val difference = (actual.value - charge.cost.value) / charge.weight
        account(team, wall).finishTag += difference.roundToLong()
    }

    /** A dispatch that never left this controller is taken back whole. */
    fun refund(team: String, charge: Charge, wall: Micros) {
        val account = account(team, wall)
        account.finishTag -= (charge.cost.value / charge.weight).roundToLong()
        account.usage = (account.usage - charge.cost.value).coerceAtLeast(0.0)
    }

    /** With nothing to run the clock equals the highest tag: nobody saves up credit. */
    fun advanceToHighestTag() {
        clock = maxOf(clock, accounts.values.maxOfOrNull { it.finishTag } ?: clock)
    }

    /**
     * Teams that neither lead the clock nor have usage left are as new, and are left out; if the
     * rest takes more than a value may, those that are nearest to that as well.
     */
    fun toJson(wall: Micros, maxBytes: Int = Int.MAX_VALUE): JsonElement {
        val kept =
            accounts
                .filter { (_, a) -> a.finishTag > clock || a.usage > NEGLIGIBLE }
                .mapValues { (team, a) -> AccountWire(a.finishTag, usage(team, wall)) }
        val whole = toJson(kept, wall)
        if (jsonBytes(whole) <= maxBytes) return whole
        val left = kept.entries.sortedBy { it.value.tag }.toMutableList()
        while (left.isNotEmpty()) {
            left.removeFirst()
            val json = toJson(left.associate { it.key to it.value }, wall)
            if (jsonBytes(json) <= maxBytes) return json
        }
        return toJson(emptyMap(), wall)
    }

    private fun toJson(kept: Map<String, AccountWire>, wall: Micros): JsonElement =
        lenientJson.encodeToJsonElement(TagsWire.serializer(), TagsWire(clock, wall.value, kept))

    fun load(json: JsonElement) {
        val wire =
            try {
                lenientJson.decodeFromJsonElement(TagsWire.serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<FairQueue>().error("the stored tags can't be read: {}", e.message)
                TagsWire(clock, 0, emptyMap())
            }
        clock = wire.clock
        accounts.clear()
        for ((team, saved) in wire.teams) {
            accounts[team] =
                Account().also {
                    it.finishTag = saved.tag
                    it.usage = saved.usage
                    it.readAt = Micros(wire.at)
                }
        }
    }

    companion object {
        const val KEY = "tags"
        private const val MIN_WEIGHT = 1e-3
        private const val NEGLIGIBLE = 1e6
    }
}
