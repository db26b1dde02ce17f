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
    @SerialName("clock") val virtualTime: Long,
    @SerialName("at") val at: Long,
    @SerialName("teams") val teams: Map<String, StoredAccount>,
)

@Serializable
private class StoredAccount(
    @SerialName("tag") val tag: Long,
    @SerialName("usage") val usage: Double,
)

/**
 * Start-time fair queuing over teams. A dispatch starts at the virtual time or at its team's finish
 * tag, whichever is later; this is its start tag. The cost divided by the team's weight is added to
 * the start tag to give the new finish tag. The virtual time advances to the start tag and never
 * goes back. A team's usage lowers its weight, and decays with a half-life.
 */
class FairQueue(
    /** The guaranteed share of each team, in CPUs. */
    private val guaranteedCpus: Map<String, Double>,
    private val halfLife: Micros,
    /** The usage that halves the weight of a team, in CPU-seconds for each guaranteed CPU. */
    private val normSeconds: Double,
) {
    private class Account {
        var finishTag = 0L

        /** The usage in CPU-microseconds, decayed up to [usageAt]. */
        var usage = 0.0
        var usageAt = Micros.ZERO
    }

    private val accounts = HashMap<String, Account>()

    /** The virtual time of the queue, in CPU-microseconds divided by weight. */
    var virtualTime = 0L
        private set

    private fun baseWeight(team: String) = maxOf(1.0, guaranteedCpus[team] ?: 1.0)

    private fun account(team: String, wallTime: Micros): Account {
        val account = accounts.getOrPut(team) { Account().also { it.usageAt = wallTime } }
        val elapsed = wallTime - account.usageAt
        if (elapsed > Micros.ZERO) {
            account.usage *= 2.0.pow(-elapsed.value.toDouble() / halfLife.value)
            account.usageAt = wallTime
        }
        return account
    }

    /** The decayed usage of [team] at time of day [wallTime], in CPU-microseconds. */
    fun usage(team: String, wallTime: Micros): Double = account(team, wallTime).usage

    /** The weight of [team] at time of day [wallTime]. */
    fun weight(team: String, wallTime: Micros): Double {
        val norm = normSeconds * MICROS_PER_SECOND * baseWeight(team)
        val weight = baseWeight(team) * 2.0.pow(-account(team, wallTime).usage / norm)
        return roundToThreeDigits(weight.coerceAtLeast(MIN_WEIGHT))
    }

    /**
     * Rounds to three significant digits, so that tasks placed together are charged with the same
     * weight and their record stores that charge only once.
     */
    private fun roundToThreeDigits(value: Double): Double {
        val unit = 10.0.pow(2 - floor(log10(value)))
        return (value * unit).roundToLong() / unit
    }

    /**
     * The start tag that the next dispatch of [team] would get; the team with the lowest one is
     * served first.
     */
    fun startTag(team: String): Long = maxOf(virtualTime, accounts[team]?.finishTag ?: 0L)

    /** Charges [team] for a dispatch at time of day [wallTime] that is expected to cost [cost]. */
    fun charge(team: String, cost: Cost, wallTime: Micros): Charge {
        val weight = weight(team, wallTime)
        val account = account(team, wallTime)
        val start = startTag(team)
        account.finishTag = start + (cost.value / weight).roundToLong()
        account.usage += cost.value
        virtualTime = maxOf(virtualTime, start)
        return Charge(cost, weight)
    }

    /**
     * Corrects [charge] to the [actual] cost, using the weight that the dispatch was charged with.
     */
    fun settle(team: String, charge: Charge, actual: Cost, wallTime: Micros) {
        val difference = (actual.value - charge.cost.value) / charge.weight
        account(team, wallTime).finishTag += difference.roundToLong()
    }

    /** Reverts the whole [charge] of a dispatch that never left this controller. */
    fun refund(team: String, charge: Charge, wallTime: Micros) {
        val account = account(team, wallTime)
        account.finishTag -= (charge.cost.value / charge.weight).roundToLong()
        account.usage = (account.usage - charge.cost.value).coerceAtLeast(0.0)
    }

    /**
     * Advances the virtual time to the highest finish tag. Called when there is nothing to run, so
     * that no team saves up credit while it is idle.
     */
    fun advanceToHighestTag() {
        virtualTime =
            maxOf(virtualTime, accounts.values.maxOfOrNull { it.finishTag } ?: virtualTime)
    }

    /**
     * The form to store at time of day [wallTime]. Teams whose finish tag is not ahead of the
     * virtual time and that have no usage left are in the same state as new teams, and are left
     * out. If the remaining teams take more than [maxBytes], those with the lowest finish tags are
     * left out as well.
     */
    fun toJson(wallTime: Micros, maxBytes: Int = Int.MAX_VALUE): JsonElement {
        val storedAccounts =
            accounts
                .filter { (_, a) -> a.finishTag > virtualTime || a.usage > NEGLIGIBLE_USAGE }
                .mapValues { (team, a) -> StoredAccount(a.finishTag, usage(team, wallTime)) }
        val complete = toJson(storedAccounts, wallTime)
        if (jsonBytes(complete) <= maxBytes) return complete
        val remaining = storedAccounts.entries.sortedBy { it.value.tag }.toMutableList()
        while (remaining.isNotEmpty()) {
            remaining.removeFirst()
            val json = toJson(remaining.associate { it.key to it.value }, wallTime)
            if (jsonBytes(json) <= maxBytes) return json
        }
        return toJson(emptyMap(), wallTime)
    }

    private fun toJson(storedAccounts: Map<String, StoredAccount>, wallTime: Micros): JsonElement =
        lenientJson.encodeToJsonElement(
            StoredTags.serializer(),
            StoredTags(virtualTime, wallTime.value, storedAccounts),
        )

    /**
     * Replaces the virtual time and all accounts by those in [json]. If it cannot be decoded, an
     * error is logged, all accounts are removed, and the virtual time stays as it is.
     */
    fun load(json: JsonElement) {
        val stored =
            try {
                lenientJson.decodeFromJsonElement(StoredTags.serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<FairQueue>()
                    .error(
                        "value of key tags cannot be decoded, accounts of all teams are reset: {}",
                        e.message,
                    )
                StoredTags(virtualTime, 0, emptyMap())
            }
        virtualTime = stored.virtualTime
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

        /** Usage below this is not stored, in CPU-microseconds. */
        private const val NEGLIGIBLE_USAGE = 1e6
    }
}
