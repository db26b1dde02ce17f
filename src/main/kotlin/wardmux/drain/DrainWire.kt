package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The answer to an operator who asked for something that can't be. */
@Serializable
data class DrainError(
    @SerialName("error") val error: String,
    /** The state of a drain that is over, where that is why. */
    @SerialName("state") val state: DrainState? = null,
)

/** How much of a team's budget is in use. */
@Serializable
data class BudgetStatus(
    @SerialName("team") val team: String,
    @SerialName("limit") val limit: Int,
    @SerialName("disrupted") val disrupted: Int,
    @SerialName("least_replicas") val minReplicas: Int,
)

/** Where an answer comes from and how old it is. */
@Serializable
enum class Source {
    /** The leader: what is stored and what it sees now. */
    @SerialName("leader") LEADER,

    /** The state service, since no leader could be asked. */
    @SerialName("store") STORE,
}

/** A drain as operators see it. */
@Serializable
data class DrainStatus(
    @SerialName("drain") val record: DrainRecord,
    @SerialName("source") val source: Source,
    /** How old the answer is. */
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
    /** Drains whose record this version can't read: to it they have failed. */
    @SerialName("unreadable") val unreadable: List<String> = emptyList(),
)

/** What a drain would do. */
@Serializable
data class DrainCheck(
    @SerialName("machines") val machines: Int,
    /** The machines of each step. */
    @SerialName("steps") val steps: List<List<String>>,
    @SerialName("tasks_to_move") val tasksToMove: Int,
    @SerialName("budgets") val budgets: List<BudgetStatus>,
    /** The first thing that would stop it, or null. */
    @SerialName("stopped_by") val stoppedBy: String? = null,
)

/** A request of an operator, passed on to the leader. */
@Serializable
class ForwardedRequest(
    @SerialName("method") val method: String,
    @SerialName("path") val path: String,
    @SerialName("body") val body: ByteArray,
)

/** The leader's answer to it. */
@Serializable
class ForwardedResponse(
    @SerialName("status") val status: Int,
    @SerialName("body") val body: String,
    @SerialName("retryAfterS") val retryAfterS: Int? = null,
)

/** An answer to an operator. */
class OperatorResponse(val status: Int, val body: String, val retryAfterS: Int? = null)

/** Operators' JSON: strict in what is read, so that a mistyped field is not passed over. */
val operatorJson = Json {
    encodeDefaults = true
    explicitNulls = false
}
