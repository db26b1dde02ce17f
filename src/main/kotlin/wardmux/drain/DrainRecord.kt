package wardmux.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.serialization.lenientJson

/** Which machines a drain takes out; what is left out does not restrict it. */
@Serializable
data class DrainSelector(
    @SerialName("machines") val machines: List<String> = emptyList(),
    @SerialName("types") val types: List<String> = emptyList(),
    @SerialName("zones") val zones: List<String> = emptyList(),
    /** Spot machines only, ordinary ones only, or both. */
    @SerialName("spot") val spot: Boolean? = null,
    /** Only those rented before this moment (ISO 8601, with its offset). */
    @SerialName("older_than") val olderThan: String? = null,
)

/** What to do once the deadline of a drain has passed. */
@Serializable
enum class DeadlineAction {
    @SerialName("pause") PAUSE,
    @SerialName("continue") CONTINUE,
}

/** In which order machines are taken out where budgets leave the choice. */
@Serializable
enum class StepOrder {
    /** As few steps as possible. */
    @SerialName("fewest_steps") FEWEST_STEPS,

    /** The emptiest machines first. */
    @SerialName("emptiest_first") EMPTIEST_FIRST,

    /** One zone after the other. */
    @SerialName("by_zone") BY_ZONE,
}

/** A drain as an operator asks for it. */
@Serializable
data class DrainRequest(
    @SerialName("id") val id: String,
    @SerialName("select") val select: DrainSelector,
    @SerialName("order") val order: StepOrder = StepOrder.FEWEST_STEPS,
    /** The most machines of one step. */
    @SerialName("step_size") val stepSize: Int = 4,
    /** How long tasks may go on before they are stopped; services are moved at once. */
    @SerialName("grace_s") val graceS: Double = 60.0,
    @SerialName("deadline") val deadline: String? = null,
    @SerialName("at_deadline") val atDeadline: DeadlineAction = DeadlineAction.PAUSE,
)

/** What has become of a drain. */
@Serializable
enum class DrainState(
    /** Nothing changes it any more. */
    val isFinal: Boolean
) {
    @SerialName("planned") PLANNED(false),
    @SerialName("running") RUNNING(false),
    @SerialName("paused") PAUSED(false),
    @SerialName("done") DONE(true),
    @SerialName("cancelled") CANCELLED(true),

    /** What is stored of it can't be carried out by this version. */
    @SerialName("failed") FAILED(true),
}

/** Why a drain is paused. */
@Serializable
enum class PauseReason(
    /** It ends as soon as its cause does, and needs no operator. */
    val resumesAutomatically: Boolean
) {
    @SerialName("operator") OPERATOR(false),
    @SerialName("deadline") DEADLINE(false),

    /** Workers were lost otherwise, and the budget has no room beside them. */
    @SerialName("loss") LOSS(true),

    /** The budget never lets the rest be moved. */
    @SerialName("budget") BUDGET(true),
}

/** How far a step is. */
@Serializable
enum class StepPhase {
    /** Room for what has to move is being found or rented. */
    @SerialName("preparing") PREPARING,

    /** The machines take no tasks; what is on them ends or is moved. */
    @SerialName("emptying") EMPTYING,

    /** The machines are returned; what was moved has to run again. */
    @SerialName("settling") SETTLING,
}

/** The step that is under way. Times are microseconds of the time of day. */
@Serializable
data class DrainStep(
    @SerialName("number") val number: Int,
    @SerialName("phase") val phase: StepPhase,
    @SerialName("machines") val machines: List<String>,
    /** Tasks that were, or are about to be, stopped to be moved, and do not run again yet. */
    @SerialName("moved") val moved: List<String> = emptyList(),
    @SerialName("began_at") val beganAt: Long,
    @SerialName("emptying_since") val emptyingSince: Long = 0,
)

/** All that is stored of a drain. Written only under the leader's token. */
@Serializable
data class DrainRecord(
    @SerialName("request") val request: DrainRequest,
    @SerialName("state") val state: DrainState,
    @SerialName("token") val token: Long,
    @SerialName("started_at") val startedAt: Long,
    @SerialName("changed_at") val changedAt: Long,
    /** The newest machine that there was at the start: later ones are not drained. */
    @SerialName("newest") val newest: String,
    @SerialName("reason") val reason: PauseReason? = null,
    @SerialName("note") val note: String = "",
    @SerialName("step") val step: DrainStep? = null,
    @SerialName("steps_done") val stepsDone: Int = 0,
    @SerialName("returned") val returned: Int = 0,
    @SerialName("moved") val moved: Int = 0,
    @SerialName("step_ended_at") val stepEndedAt: Long = 0,
    /** How long the last step took, in microseconds. */
    @SerialName("last_step") val lastStep: Long = 0,
) {
    /** The same going on from a pause. */
    fun resumed(): DrainRecord {
        val state = if (step == null) DrainState.PLANNED else DrainState.RUNNING
        return copy(state = state, reason = null, note = "")
    }

    /** The value as it is stored. */
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    companion object {
        /** Drains are stored under this prefix, which versions without drains never read. */
        const val PREFIX = "d/"

        /** The key of the drain [id]. */
        fun key(id: String) = PREFIX + id
    }
}
