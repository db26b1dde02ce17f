package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.serialization.lenientJson

/**
 * Selects the machines of a drain: those that match all fields. An empty or null field matches
 * every machine.
 */
@Serializable
data class DrainSelector(
    @SerialName("machines") val machines: List<String> = emptyList(),
    @SerialName("types") val types: List<String> = emptyList(),
    @SerialName("zones") val zones: List<String> = emptyList(),
    /** True for spot machines only, false for ordinary machines only, null for both. */
    @SerialName("spot") val spot: Boolean? = null,
    /** Only machines rented before this time, in ISO 8601 with an offset. */
    @SerialName("older_than") val olderThan: String? = null,
)

/** What the leader does with a drain whose deadline has passed. */
@Serializable
enum class DeadlineAction {
    @SerialName("pause") PAUSE,
    @SerialName("continue") CONTINUE,
}

/** The order in which machines are drained where the budgets allow several orders. */
@Serializable
enum class StepOrder {
    /** In as few steps as possible. */
    @SerialName("fewest_steps") FEWEST_STEPS,

    /** Machines with the fewest tasks to evict first. */
    @SerialName("emptiest_first") EMPTIEST_FIRST,

    /** One zone after the other; no step has machines of two zones. */
    @SerialName("by_zone") BY_ZONE,
}

/** A drain as an operator requests it. */
@Serializable
data class DrainRequest(
    @SerialName("id") val id: String,
    @SerialName("select") val select: DrainSelector,
    @SerialName("order") val order: StepOrder = StepOrder.FEWEST_STEPS,
    /** The largest number of machines in one step. */
    @SerialName("step_size") val stepSize: Int = 4,
    /**
     * How long tasks of a machine that is being emptied may continue before they are evicted, in
     * seconds. Replicas of services are evicted at once, because they never end by themselves.
     */
    @SerialName("grace_s") val graceS: Double = 60.0,
    /** When [atDeadline] takes effect, in ISO 8601 with an offset; null for no deadline. */
    @SerialName("deadline") val deadline: String? = null,
    @SerialName("at_deadline") val atDeadline: DeadlineAction = DeadlineAction.PAUSE,
)

/** The state of a drain. */
@Serializable
enum class DrainState(
    /** True if the drain has ended and can't be resumed. */
    val isFinal: Boolean
) {
    @SerialName("planned") PLANNED(false),
    @SerialName("running") RUNNING(false),
    @SerialName("paused") PAUSED(false),
    @SerialName("done") DONE(true),
    @SerialName("cancelled") CANCELLED(true),

    /** This version can't decode the stored record. */
    @SerialName("failed") FAILED(true),
}

/** Why a drain is paused. */
@Serializable
enum class PauseReason(
    /** True if the drain resumes without an operator as soon as the cause is gone. */
    val resumesAutomatically: Boolean
) {
    @SerialName("operator") OPERATOR(false),
    @SerialName("deadline") DEADLINE(false),

    /**
     * Tasks were disrupted by something other than the drains, and the budget allows no further
     * eviction until they run again.
     */
    @SerialName("loss") LOSS(true),

    /** The budget is too small for the remaining evictions, even if no task is disrupted. */
    @SerialName("budget") BUDGET(true),
}

/** The phase of a step, in the order in which a step goes through them. */
@Serializable
enum class StepPhase {
    /** The leader finds or rents capacity for the tasks that the step will evict. */
    @SerialName("preparing") PREPARING,

    /** The machines take no tasks, except urgent ones, while their own tasks end or are evicted. */
    @SerialName("emptying") EMPTYING,

    /** The machines have been returned, and the evicted tasks have to run again. */
    @SerialName("settling") SETTLING,
}

/** The current step of a drain. Times are in microseconds since 1970. */
@Serializable
data class DrainStep(
    @SerialName("number") val number: Int,
    @SerialName("phase") val phase: StepPhase,
    @SerialName("machines") val machines: List<String>,
    /** Names of tasks that were or will be evicted and do not run elsewhere yet. */
    @SerialName("moved") val moved: List<String> = emptyList(),
    @SerialName("began_at") val beganAt: Long,
    @SerialName("emptying_since") val emptyingSince: Long = 0,
)

/**
 * A drain as stored in the key-value store. Only the leader writes it, together with its fencing
 * token. Times are in microseconds since 1970.
 */
@Serializable
data class DrainRecord(
    @SerialName("request") val request: DrainRequest,
    @SerialName("state") val state: DrainState,
    @SerialName("token") val token: Long,
    @SerialName("started_at") val startedAt: Long,
    @SerialName("changed_at") val changedAt: Long,
    /**
     * The id of the newest machine when the drain started. Newer machines are not drained unless
     * the request names them, because the replacements are among them.
     */
    @SerialName("newest") val newest: String,
    @SerialName("reason") val reason: PauseReason? = null,
    @SerialName("note") val note: String = "",
    @SerialName("step") val step: DrainStep? = null,
    @SerialName("steps_done") val stepsDone: Int = 0,
    /** The number of machines in the finished steps. */
    @SerialName("returned") val returned: Int = 0,
    /** The number of tasks that were selected for eviction so far. */
    @SerialName("moved") val moved: Int = 0,
    /** When the last step finished; 0 if none has. */
    @SerialName("step_ended_at") val stepEndedAt: Long = 0,
    /** The duration of the last finished step, in microseconds. */
    @SerialName("last_step") val lastStep: Long = 0,
) {
    /** A copy of this record that is not paused. */
    fun resumed(): DrainRecord {
        val state = if (step == null) DrainState.PLANNED else DrainState.RUNNING
        return copy(state = state, reason = null, note = "")
    }

    /** The JSON that is written to the key-value store. */
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    companion object {
        /** The key prefix of drains. Versions that do not support drains never read these keys. */
        const val PREFIX = "d/"

        /** The key of the drain [id]. */
        fun key(id: String) = PREFIX + id
    }
}
