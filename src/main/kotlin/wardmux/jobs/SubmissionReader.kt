package wardmux.jobs

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.PriorityClass

/** The reason why a submission is malformed; [message] is the error text for the user. */
sealed class SubmissionError(val message: String) {
    /** The body is not UTF-8. */
    data object NotUtf8 : SubmissionError("the body is not UTF-8")

    /** The body is not JSON. */
    data object NotJson : SubmissionError("the body is not JSON")

    /** The body is JSON, but not an object. */
    data object NotAnObject : SubmissionError("the body is not a JSON object")

    /** [field] is missing or has a value that is not allowed. */
    data class InvalidField(val field: String) :
        SubmissionError("field $field is missing or invalid")
}

/** The result of reading a submission. */
sealed interface Submission {
    /** The submission has valid fields. The job in [spec] may still be infeasible. */
    data class WellFormed(val spec: JobSpec) : Submission

    /** The submission violates the protocol. [id] is the id of the job; null if unreadable. */
    data class Malformed(val id: JobId?, val error: SubmissionError) : Submission
}

/**
 * Reads submissions strictly: a submission is malformed if a required field is missing, or if a
 * field has a wrong type or a value that is not allowed, such as an empty text, or a number that is
 * negative, non-finite or above [MAX_NUMBER_VALUE].
 */
object SubmissionReader {
    private val jobIdPattern = Regex("job-[0-9]{1,18}")
    private val numberPattern = Regex("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

    private class InvalidFieldException(val field: String) : Exception(field)

    /** Whether [text] is a valid job id. */
    fun isId(text: String): Boolean = jobIdPattern.matches(text)

    /** Reads the [body] of a submission. */
    fun read(body: ByteArray): Submission {
        val json =
            try {
                Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
            } catch (e: SerializationException) {
                return Submission.Malformed(null, SubmissionError.NotJson)
            } catch (e: CharacterCodingException) {
                return Submission.Malformed(null, SubmissionError.NotUtf8)
            }
        if (json !is JsonObject) return Submission.Malformed(null, SubmissionError.NotAnObject)
        var id: JobId? = null
        return try {
            val idText = nonEmptyString(json, "name_id")
            if (!isId(idText)) throw InvalidFieldException("name_id")
            id = JobId(idText)
            Submission.WellFormed(jobSpec(idText, json))
        } catch (e: InvalidFieldException) {
            Submission.Malformed(id, SubmissionError.InvalidField(e.field))
        }
    }

    private fun jobSpec(id: String, json: JsonObject) =
        JobSpec(
            id = id,
            jobClass = nonEmptyString(json, "jobclass"),
            team = nonEmptyString(json, "owner"),
            kind = jobKind(json),
            priority = priorityClass(json),
            tasks = taskCount(json, "pieces"),
            cpus = nonNegativeNumber(json, "cores"),
            gpus = nonNegativeNumber(json, "gpus"),
            memoryGb = nonNegativeNumber(json, "mem_gb"),
            image = nonEmptyString(json, "bundle"),
            imageGb = nonNegativeNumber(json, "pull_gb"),
            types = optionalValue(json, "boxkinds")?.let { stringList(it, "boxkinds") },
            zone = optionalValue(json, "ward")?.let { nonEmptyString(json, "ward") },
            oneZone = boolean(json, "same_place"),
            spread = boolean(json, "scatter"),
            spot = boolean(json, "loaners"),
            estimateS = nonNegativeNumber(json, "guess_s"),
            checkpointS = nonNegativeNumber(json, "savepoint_s"),
            saveS = nonNegativeNumber(json, "dump_s"),
            deadlineS = optionalValue(json, "due_s")?.let { nonNegativeNumber(json, "due_s") },
        )

    private fun jobKind(json: JsonObject) =
        when (nonEmptyString(json, "shape")) {
            "batch" -> JobKind.ARRAY
            "daemon" -> JobKind.SERVICE
            "group" -> JobKind.GANG
            else -> throw InvalidFieldException("shape")
        }

    private fun priorityClass(json: JsonObject) =
        when (nonEmptyString(json, "urgency")) {
            "prod" -> PriorityClass.PROD
            "high" -> PriorityClass.HIGH
            "normal" -> PriorityClass.NORMAL
            "idle" -> PriorityClass.IDLE
            else -> throw InvalidFieldException("urgency")
        }

    private fun optionalValue(json: JsonObject, field: String): JsonElement? =
        json[field]?.takeIf { it !is JsonNull }

    private fun primitiveValue(json: JsonObject, field: String): JsonPrimitive {
        val value = json[field]
        if (value !is JsonPrimitive || value is JsonNull) throw InvalidFieldException(field)
        return value
    }

    private fun nonEmptyString(json: JsonObject, field: String): String {
        val value = primitiveValue(json, field)
        if (!value.isString || value.content.isEmpty()) throw InvalidFieldException(field)
        return value.content
    }

    private fun stringList(value: JsonElement, field: String): List<String> {
        if (value !is JsonArray) throw InvalidFieldException(field)
        return value.map {
            if (it !is JsonPrimitive || !it.isString) throw InvalidFieldException(field)
            it.content
        }
    }

    private fun nonNegativeNumber(json: JsonObject, field: String): Double {
        val value = primitiveValue(json, field)
        if (value.isString || !numberPattern.matches(value.content))
            throw InvalidFieldException(field)
        val number = value.content.toDouble()
        if (!number.isFinite() || number < 0 || number > MAX_NUMBER_VALUE)
            throw InvalidFieldException(field)
        return number
    }

    private fun taskCount(json: JsonObject, field: String): Int {
        val number = nonNegativeNumber(json, field)
        if (number != Math.rint(number) || number < 1 || number > JobSpec.MAX_TASKS)
            throw InvalidFieldException(field)
        return number.toInt()
    }

    private fun boolean(json: JsonObject, field: String): Boolean {
        val value = primitiveValue(json, field)
        if (value.isString) throw InvalidFieldException(field)
        return when (value.content) {
            "true" -> true
            "false" -> false
            else -> throw InvalidFieldException(field)
        }
    }

    /** The largest number that any field may hold. */
    private const val MAX_NUMBER_VALUE = 1e9
}
