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
private class StoredTags(
    @SerialName("clock") val clock: Long,
    @SerialName("at") val at: Long,
    @SerialName("teams") val teams: Map<String, StoredAccount>,
)

@Serializable
private class StoredAccount(
    @SerialName("tag") val tag: Long,
    @SerialName("usage") val usage: Double,
)

/**
 * Start-time fair queuing over teams. A dispatch starts at max(clock, the team's finish tag); its
 * cost divided by the team's weight is added to the tag; the clock rises to the start tag and never
 * goes back. Usage lowers the weight, and decays with a half-life.
 */
class FairQueue(
    /** The guaranteed share of each team, in CPUs. */
    private val guaranteedCpus: Map<String, Double>,
    private val halfLife: Micros,
    /** Usage that halves the weight, in CPU-seconds for each guaranteed CPU. */
    private val normSeconds: Double,
) {
    private class Account {
        var finishTag = 0L

        /** In CPU-microseconds, decayed up to [usageAt]. */
        var usage = 0.0
        var usageAt = Micros.ZERO
    }

    private val accounts = HashMap<String, Account>()

    /** The virtual time of the queue. */
    var clock = 0L
        private set

    private fun baseWeight(team: String) = maxOf(1.0, guaranteedCpus[team] ?: 1.0)

    private fun account(team: String, wall: Micros): Account {
        val account = accounts.getOrPut(team) { Account().also { it.usageAt = wall } }
        val elapsed = wall - account.usageAt
        if (elapsed > Micros.ZERO) {
            account.usage *= 2.0.pow(-elapsed.value.toDouble() / halfLife.value)
            account.usageAt = wall
        }
        return account
    }

    /** The decayed usage of [team] at time of day [wall], in CPU-microseconds. */
    fun usage(team: String, wall: Micros): Double = account(team, wall).usage

    /** The weight of [team] at time of day [wall]. */
    fun weight(team: String, wall: Micros): Double {
        val norm = normSeconds * MICROS_PER_SECOND * baseWeight(team)
        val weight = baseWeight(team) * 2.0.pow(-account(team, wall).usage / norm)
        return roundToThreeDigits(weight.coerceAtLeast(MIN_WEIGHT))
    }

    /** So that tasks placed together are charged alike and their record says it once. */
    private fun roundToThreeDigits(value: Double): Double {
        val unit = 10.0.pow(2 - floor(log10(value)))
        return (value * unit).roundToLong() / unit
    }

    /** The tag at which the next dispatch of [team] would start; the lowest goes first. */
    fun startTag(team: String): Long = maxOf(clock, accounts[team]?.finishTag ?: 0L)

    /** Charges [team] for a dispatch at time of day [wall] that is expected to cost [cost]. */
    fun charge(team: String, cost: Cost, wall: Micros): Charge {
        val weight = weight(team, wall)
        val account = account(team, wall)
        val start = startTag(team)
        account.finishTag = start + (cost.value / weight).roundToLong()
        account.usage += cost.value
        clock = maxOf(clock, start)
        return Charge(cost, weight)
    }

    /** Corrects [charge] by the [actual] cost, with the weight that the dispatch was charged at. */
    fun settle(team: String, charge: Charge, actual: Cost, wall: Micros) {
        val difference = (actual.value - charge.cost.value) / charge.weight
        account(team, wall).finishTag += difference.roundToLong()
    }

    /** Takes back the whole [charge] of a dispatch that never left this controller. */
    fun refund(team: String, charge: Charge, wall: Micros) {
        val account = account(team, wall)
        account.finishTag -= (charge.cost.value / charge.weight).roundToLong()
        account.usage = (account.usage - charge.cost.value).coerceAtLeast(0.0)
    }

    /** With nothing to run the clock rises to the highest tag: nobody saves up credit. */
    fun advanceToHighestTag() {
        clock = maxOf(clock, accounts.values.maxOfOrNull { it.finishTag } ?: clock)
    }

    /**
     * The stored form at time of day [wall]. Teams that neither lead the clock nor have usage left
     * are as new, and are left out; if the rest takes more than [maxBytes], so are those that lead
     * the least.
     */
    fun toJson(wall: Micros, maxBytes: Int = Int.MAX_VALUE): JsonElement {
        val kept =
            accounts
                .filter { (_, a) -> a.finishTag > clock || a.usage > NEGLIGIBLE_USAGE }
                .mapValues { (team, a) -> StoredAccount(a.finishTag, usage(team, wall)) }
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

    private fun toJson(kept: Map<String, StoredAccount>, wall: Micros): JsonElement =
        lenientJson.encodeToJsonElement(
            StoredTags.serializer(),
            StoredTags(clock, wall.value, kept),
        )

    /** Replaces all accounts by what [json] holds; by none, which is logged, if it is no such. */
    fun load(json: JsonElement) {
        val stored =
            try {
                lenientJson.decodeFromJsonElement(StoredTags.serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<FairQueue>().error("the stored tags can't be decoded: {}", e.message)
                StoredTags(clock, 0, emptyMap())
            }
        clock = stored.clock
        accounts.clear()
        for ((team, saved) in stored.teams) {
            accounts[team] =
                Account().also {
                    it.finishTag = saved.tag
                    it.usage = saved.usage
                    it.usageAt = Micros(stored.at)
                }
        }
    }

    companion object {
        /** The key that holds the tags and usage of all teams. */
        const val KEY = "tags"
        private const val MICROS_PER_SECOND = 1e6
        private const val MIN_WEIGHT = 1e-3

        /** In CPU-microseconds. */
        private const val NEGLIGIBLE_USAGE = 1e6
    }
}
