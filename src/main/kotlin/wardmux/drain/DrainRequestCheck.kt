package wardmux.drain

import kotlinx.serialization.SerializationException
import wardmux.config.rangeProblem
import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.MachineTypes
import wardmux.model.Micros

/** A drain can't be as requested; [problem] is one line that names the field. */
class InvalidDrainRequestException(val problem: String) : Exception(problem)

/** Decodes and validates requests for drains; throws [InvalidDrainRequestException]. */
class DrainRequestCheck(
    private val context: CoreContext,
    private val selection: DrainSelection,
    private val types: MachineTypes,
    private val zones: List<String>,
) {
    /** The request in [body], not validated yet. */
    fun decode(body: ByteArray): DrainRequest =
        try {
            operatorJson.decodeFromString(DrainRequest.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            throw InvalidDrainRequestException(e.message.orEmpty().lineSequence().first())
        }

    /** Throws for the first field of the request that is wrong. */
    fun check(request: DrainRequest) {
        val problem =
            problem(request, context.wallTime)
                ?: selection.unknownNameProblem(request.select, types.types.orEmpty(), zones)
        if (problem != null) throw InvalidDrainRequestException(problem)
    }

    /** The machines that a new drain would take out; throws if there are none. */
    fun targets(request: DrainRequest): List<Machine> =
        selection.targets(request, selection.newest).ifEmpty {
            throw InvalidDrainRequestException("select: no machine is selected")
        }

    private fun problem(request: DrainRequest, now: Micros): String? =
        idProblem(request.id)
            ?: rangeProblem("grace_s", request.graceS, 0.0, MAX_GRACE_S)
            ?: stepProblem(request.stepSize)
            ?: deadlineProblem(request.deadline, now)
            ?: selectProblem(request.select)

    private fun idProblem(id: String): String? =
        when {
            !ID_PATTERN.matches(id) -> "id: letters, digits, '.', '_' and '-', at most 64: $id"
            id == DrainPaths.CHECK -> "id: $id is a word of the interface"
            else -> null
        }

    private fun stepProblem(size: Int): String? =
        if (size in 1..MAX_STEP_SIZE) null
        else "step_size must be from 1 to $MAX_STEP_SIZE, but is $size"

    private fun deadlineProblem(deadline: String?, now: Micros): String? {
        val time =
            DrainSelection.parseTime(deadline ?: return null)
                ?: return "deadline: no time with an offset: $deadline"
        return if (time <= now) "deadline: is past: $deadline" else null
    }

    private fun selectProblem(select: DrainSelector): String? {
        val olderThan = select.olderThan
        return when {
            select == DrainSelector() -> "select: names nothing"
            olderThan != null && DrainSelection.parseTime(olderThan) == null ->
                "select.older_than: no time with an offset: $olderThan"
            else -> null
        }
    }

    private companion object {
        val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
        const val MAX_GRACE_S = 86_400.0
        const val MAX_STEP_SIZE = 20
    }
}
