package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.serialization.lenientJson

/** Selects the machines of a drain; an empty or null field does not restrict it. */
@Serializable
data class DrainSelector(
    @SerialName("machines") val machines: List<String> = emptyList(),
    @SerialName("types") val types: List<String> = emptyList(),
    @SerialName("zones") val zones: List<String> = emptyList(),
    /** Spot machines only, ordinary ones only, or both. */
    @SerialName("spot") val spot: Boolean? = null,
    /** Only machines rented before this time (ISO 8601 with an offset). */
    @SerialName("older_than") val olderThan: String? = null,
)

/** What to do once the deadline of a drain has passed. */
@Serializable
enum class DeadlineAction {
    @SerialName("pause") PAUSE,
    @SerialName("continue") CONTINUE,
}

/** In which order machines are taken out where the budgets allow several. */
@Serializable
enum class StepOrder {
    /** As few steps as possible. */
    @SerialName("fewest_steps") FEWEST_STEPS,

    /** The emptiest machines first. */
    @SerialName("emptiest_first") EMPTIEST_FIRST,

    /** One zone after the other. */
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
     * How long tasks may run on before they are evicted, in seconds; services are evicted at once.
     */
    @SerialName("grace_s") val graceS: Double = 60.0,
    @SerialName("deadline") val deadline: String? = null,
    @SerialName("at_deadline") val atDeadline: DeadlineAction = DeadlineAction.PAUSE,
)

/** The state of a drain. */
@Serializable
enum class DrainState(
    /** The drain is over. */
    val isFinal: Boolean
) {
    @SerialName("planned") PLANNED(false),
    @SerialName("running") RUNNING(false),
    @SerialName("paused") PAUSED(false),
    @SerialName("done") DONE(true),
    @SerialName("cancelled") CANCELLED(true),

    /** This version can't carry out what is stored. */
    @SerialName("failed") FAILED(true),
}

/** Why a drain is paused. */
@Serializable
enum class PauseReason(
    /** The drain resumes as soon as the cause is gone, without an operator. */
    val resumesAutomatically: Boolean
) {
    @SerialName("operator") OPERATOR(false),
    @SerialName("deadline") DEADLINE(false),

    /** Tasks were lost otherwise, and the budget allows no eviction beside them. */
    @SerialName("loss") LOSS(true),

    /** The budget does not allow the remaining evictions at all. */
    @SerialName("budget") BUDGET(true),
}

/** The phase of a step. */
@Serializable
enum class StepPhase {
    /** Capacity for the tasks to be evicted is being found or rented. */
    @SerialName("preparing") PREPARING,

    /** The machines take no tasks; theirs end or are evicted. */
    @SerialName("emptying") EMPTYING,

    /** The machines are returned; the evicted tasks have to run again. */
    @SerialName("settling") SETTLING,
}

/** The current step of a drain. Times are in microseconds since 1970. */
@Serializable
data class DrainStep(
    @SerialName("number") val number: Int,
    @SerialName("phase") val phase: StepPhase,
    @SerialName("machines") val machines: List<String>,
    /** Tasks that were or are about to be evicted, and do not run again yet. */
    @SerialName("moved") val moved: List<String> = emptyList(),
    @SerialName("began_at") val beganAt: Long,
    @SerialName("emptying_since") val emptyingSince: Long = 0,
)

/**
 * A drain as it is stored; written only by the leader, with its fencing token. Times are in
 * microseconds since 1970.
 */
@Serializable
data class DrainRecord(
    @SerialName("request") val request: DrainRequest,
    @SerialName("state") val state: DrainState,
    @SerialName("token") val token: Long,
    @SerialName("started_at") val startedAt: Long,
    @SerialName("changed_at") val changedAt: Long,
    /** The newest machine when the drain started: later ones are not drained. */
    @SerialName("newest") val newest: String,
    @SerialName("reason") val reason: PauseReason? = null,
    @SerialName("note") val note: String = "",
    @SerialName("step") val step: DrainStep? = null,
    @SerialName("steps_done") val stepsDone: Int = 0,
    @SerialName("returned") val returned: Int = 0,
    @SerialName("moved") val moved: Int = 0,
    @SerialName("step_ended_at") val stepEndedAt: Long = 0,
    /** The duration of the last step, in microseconds. */
    @SerialName("last_step") val lastStep: Long = 0,
) {
    /** The record after the end of a pause. */
    fun resumed(): DrainRecord {
        val state = if (step == null) DrainState.PLANNED else DrainState.RUNNING
        return copy(state = state, reason = null, note = "")
    }

    /** The stored form. */
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    companion object {
        /** The prefix of the keys of drains; versions without drains do not read it. */
        const val PREFIX = "d/"

        /** The key of the drain [id]. */
        fun key(id: String) = PREFIX + id
    }
}
