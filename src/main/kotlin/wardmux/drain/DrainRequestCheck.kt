package wardmux.drain

import kotlinx.serialization.SerializationException
import wardmux.config.rangeProblem
import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineTypes
import wardmux.model.Micros

/** Thrown if a drain request is invalid; [problem] is one line that names the field. */
class InvalidDrainRequestException(val problem: String) : Exception(problem)

/**
 * Decodes and validates requests to start a drain. Its functions throw
 * [InvalidDrainRequestException] for an invalid request.
 */
class DrainRequestCheck(
    private val context: CoreContext,
    private val selection: DrainSelection,
    private val types: MachineTypes,
    private val zones: List<String>,
) {
    /** Decodes the JSON in [body] without validating the values. */
    fun decode(body: ByteArray): DrainRequest =
        try {
            operatorJson.decodeFromString(DrainRequest.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            throw InvalidDrainRequestException(e.message.orEmpty().lineSequence().first())
        }

    /** Throws for the first field of [request] that is invalid. */
    fun check(request: DrainRequest) {
        val problem =
            problem(request, context.wallTime)
                ?: selection.unknownNameProblem(request.select, types.types.orEmpty(), zones)
        if (problem != null) throw InvalidDrainRequestException(problem)
    }

    /** The machines that a new drain would return to the cloud; throws if there are none. */
    fun targets(request: DrainRequest): List<Machine> =
        selection.targets(request, selection.newest).ifEmpty {
            throw InvalidDrainRequestException("select: matches no machine")
        }

    private fun problem(request: DrainRequest, now: Micros): String? =
        idProblem(request.id)
            ?: rangeProblem("grace_s", request.graceS, 0.0, MAX_GRACE_S)
            ?: stepProblem(request.stepSize)
            ?: deadlineProblem(request.deadline, now)
            ?: selectProblem(request.select)

    private fun idProblem(id: String): String? =
        when {
            !ID_PATTERN.matches(id) ->
                "id: must be 1 to 64 letters, digits, '.', '_' or '-', " +
                    "and start with a letter or digit, but is $id"
            id == DrainPaths.CHECK -> "id: $id is reserved for a path of the interface"
            else -> null
        }

    private fun stepProblem(size: Int): String? =
        if (size in 1..MAX_STEP_SIZE) null
        else "step_size: must be from 1 to $MAX_STEP_SIZE, but is $size"

    private fun deadlineProblem(deadline: String?, now: Micros): String? {
        val time =
            DrainSelection.parseTime(deadline ?: return null)
                ?: return "deadline: must be an ISO 8601 time with an offset, but is $deadline"
        return if (time <= now) "deadline: must be in the future, but is $deadline" else null
    }

    private fun selectProblem(select: DrainSelector): String? {
        val olderThan = select.olderThan
        return when {
            select == DrainSelector() -> "select: at least one field must be set"
            olderThan != null && DrainSelection.parseTime(olderThan) == null ->
                "select.older_than: must be an ISO 8601 time with an offset, but is $olderThan"
            else -> null
        }
    }

    private companion object {
        val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
        const val MAX_GRACE_S = 86_400.0
        const val MAX_STEP_SIZE = 20
    }
}
