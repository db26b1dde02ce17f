package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The body of the response to a refused request. */
@Serializable
data class DrainError(
    @SerialName("error") val error: String,
    /** The final state of the drain if the request was refused because of it, otherwise null. */
    @SerialName("state") val state: DrainState? = null,
    /**
     * True if the request may have been carried out, or may still be; null if it certainly was not.
     */
    @SerialName("outcome_unknown") val outcomeUnknown: Boolean? = null,
) {
    companion object {
        /** Decodes [body], the body of a response; null if it is none of a refused request. */
        fun decode(body: String): DrainError? =
            try {
                operatorJson.decodeFromString(serializer(), body)
            } catch (e: SerializationException) {
                null
            }
    }
}

/** How much of a team's disruption budget is in use. */
@Serializable
data class BudgetStatus(
    @SerialName("team") val team: String,
    /** The number of tasks that may be disrupted at once. */
    @SerialName("limit") val limit: Int,
    /** The number of tasks that are disrupted or whose state is unknown. */
    @SerialName("disrupted") val disrupted: Int,
    /** The number of replicas of each service that must stay up. */
    @SerialName("least_replicas") val minReplicas: Int,
)

/** Where the data of a response comes from. */
@Serializable
enum class Source {
    /** The leader, which knows the stored records and the observed cluster. */
    @SerialName("leader") LEADER,

    /** The key-value store, because no leader could be reached. */
    @SerialName("store") STORE,
}

/** The status of a drain in a response to an operator. */
@Serializable
data class DrainStatus(
    @SerialName("drain") val record: DrainRecord,
    @SerialName("source") val source: Source,
    /** The age of the data, in seconds; 0 if the leader answered. */
    @SerialName("age_s") val ageS: Double = 0.0,
    /** What the drain waits for; empty if nothing, or if the leader did not answer. */
    @SerialName("waits_for") val waitsFor: String = "",
    /** The number of machines still to be returned; null if the leader did not answer. */
    @SerialName("remaining") val remaining: Int? = null,
    @SerialName("budgets") val budgets: List<BudgetStatus> = emptyList(),
)

/** All drains. */
@Serializable
data class DrainList(
    @SerialName("drains") val drains: List<DrainStatus>,
    /** The ids of drains whose record this version can't decode; they count as failed. */
    @SerialName("unreadable") val unreadable: List<String> = emptyList(),
)

/** The result of a dry run. */
@Serializable
data class DrainCheck(
    /** The number of machines that the drain would return. */
    @SerialName("machines") val machines: Int,
    /** The machine ids of each step. */
    @SerialName("steps") val steps: List<List<String>>,
    @SerialName("tasks_to_move") val tasksToMove: Int,
    @SerialName("budgets") val budgets: List<BudgetStatus>,
    /** The first obstacle that would delay the drain now; null if there is none. */
    @SerialName("stopped_by") val stoppedBy: String? = null,
)

/** An operator's request as it is forwarded to the leader. */
@Serializable
class ForwardedRequest(
    @SerialName("method") val method: String,
    @SerialName("path") val path: String,
    @SerialName("body") val body: ByteArray,
)

/** The leader's response to a forwarded request. */
@Serializable
class ForwardedResponse(
    @SerialName("status") val status: Int,
    @SerialName("body") val body: String,
    @SerialName("retryAfterS") val retryAfterS: Int? = null,
)

/**
 * A response to an operator. [retryAfterS] is the number of seconds after which the operator may
 * retry; null if a retry is not useful.
 */
class OperatorResponse(val status: Int, val body: String, val retryAfterS: Int? = null)

/**
 * The JSON format between operators and controllers. Unknown fields are errors, so that typing
 * errors in requests are detected.
 */
val operatorJson = Json {
    encodeDefaults = true
    explicitNulls = false
}
