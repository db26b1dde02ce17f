package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The response to a request that is refused. */
@Serializable
data class DrainError(
    @SerialName("error") val error: String,
    /** The final state of the drain, if that is the reason. */
    @SerialName("state") val state: DrainState? = null,
)

/** How much of a team's disruption budget is in use. */
@Serializable
data class BudgetStatus(
    @SerialName("team") val team: String,
    @SerialName("limit") val limit: Int,
    @SerialName("disrupted") val disrupted: Int,
    @SerialName("least_replicas") val minReplicas: Int,
)

/** Where a response comes from. */
@Serializable
enum class Source {
    /** The leader: what is stored and what it observes. */
    @SerialName("leader") LEADER,

    /** The key-value store, since no leader could be reached. */
    @SerialName("store") STORE,
}

/** A drain as operators see it. */
@Serializable
data class DrainStatus(
    @SerialName("drain") val record: DrainRecord,
    @SerialName("source") val source: Source,
    /** The age of the response, in seconds. */
    @SerialName("age_s") val ageS: Double = 0.0,
    /** What the drain waits for; known to the leader only. */
    @SerialName("waits_for") val waitsFor: String = "",
    /** Machines still to be taken out; known to the leader only. */
    @SerialName("remaining") val remaining: Int? = null,
    @SerialName("budgets") val budgets: List<BudgetStatus> = emptyList(),
)

/** All drains. */
@Serializable
data class DrainList(
    @SerialName("drains") val drains: List<DrainStatus>,
    /** Ids of drains whose record this version can't read: they count as failed. */
    @SerialName("unreadable") val unreadable: List<String> = emptyList(),
)

/** The result of a dry run. */
@Serializable
data class DrainCheck(
    @SerialName("machines") val machines: Int,
    /** The machines of each step. */
    @SerialName("steps") val steps: List<List<String>>,
    @SerialName("tasks_to_move") val tasksToMove: Int,
    @SerialName("budgets") val budgets: List<BudgetStatus>,
    /** The first obstacle to the drain, or null. */
    @SerialName("stopped_by") val stoppedBy: String? = null,
)

/** An operator's request, forwarded to the leader. */
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

/** A response to an operator; [retryAfterS] in seconds. */
class OperatorResponse(val status: Int, val body: String, val retryAfterS: Int? = null)

/** JSON between operators and controllers: unknown fields are errors, to detect typos. */
val operatorJson = Json {
    encodeDefaults = true
    explicitNulls = false
}
