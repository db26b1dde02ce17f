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

/** Why a submission is malformed; [message] is what its user is told. */
sealed class SubmissionError(val message: String) {
    /** The body is not UTF-8. */
    data object NotUtf8 : SubmissionError("not UTF-8")

    /** The body is not JSON. */
    data object NotJson : SubmissionError("not JSON")

    /** The body is JSON, but not an object. */
    data object NotAnObject : SubmissionError("not an object")

    /** [field] is missing, or its value is not one that it may have. */
    data class InvalidField(val field: String) : SubmissionError("missing or invalid: $field")
}

/** What came of reading a submission. */
sealed interface Submission {
    /** The job that it describes; it may still be one that can never run. */
    data class WellFormed(val spec: JobSpec) : Submission

    /** It breaks the protocol. [id] is the job's wherever that could be read. */
    data class Malformed(val id: JobId?, val error: SubmissionError) : Submission
}

/** Reads submissions strictly: a missing, mistyped, negative or non-finite field is malformed. */
object SubmissionReader {
    private val idForm = Regex("job-[0-9]{1,18}")
    private val plainNumber = Regex("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

    private class InvalidFieldException(val field: String) : Exception(field)

    /** Whether [text] has the form of a job's id. */
    fun isId(text: String): Boolean = idForm.matches(text)

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
            val name = text(json, "name_id")
            if (!isId(name)) throw InvalidFieldException("name_id")
            id = JobId(name)
            Submission.WellFormed(spec(name, json))
        } catch (e: InvalidFieldException) {
            Submission.Malformed(id, SubmissionError.InvalidField(e.field))
        }
    }

    private fun spec(id: String, json: JsonObject) =
        JobSpec(
            id = id,
            jobClass = text(json, "jobclass"),
            team = text(json, "owner"),
            kind = jobKind(json),
            priority = priorityClass(json),
            tasks = count(json, "pieces"),
            cpus = amount(json, "cores"),
            gpus = amount(json, "gpus"),
            memoryGb = amount(json, "mem_gb"),
            image = text(json, "bundle"),
            imageGb = amount(json, "pull_gb"),
            types = optional(json, "boxkinds")?.let { names(it, "boxkinds") },
            zone = optional(json, "ward")?.let { text(json, "ward") },
            oneZone = flag(json, "same_place"),
            spread = flag(json, "scatter"),
            spot = flag(json, "loaners"),
            estimateS = amount(json, "guess_s"),
            checkpointS = amount(json, "savepoint_s"),
            saveS = amount(json, "dump_s"),
            deadlineS = optional(json, "due_s")?.let { amount(json, "due_s") },
        )

    private fun jobKind(json: JsonObject) =
        when (text(json, "shape")) {
            "batch" -> JobKind.ARRAY
            "daemon" -> JobKind.SERVICE
            "group" -> JobKind.GANG
            else -> throw InvalidFieldException("shape")
        }

    private fun priorityClass(json: JsonObject) =
        when (text(json, "urgency")) {
            "prod" -> PriorityClass.PROD
            "high" -> PriorityClass.HIGH
            "normal" -> PriorityClass.NORMAL
            "idle" -> PriorityClass.IDLE
            else -> throw InvalidFieldException("urgency")
        }

    private fun optional(json: JsonObject, field: String): JsonElement? =
        json[field]?.takeIf { it !is JsonNull }

    private fun primitive(json: JsonObject, field: String): JsonPrimitive {
        val value = json[field]
        if (value !is JsonPrimitive || value is JsonNull) throw InvalidFieldException(field)
        return value
    }

    private fun text(json: JsonObject, field: String): String {
        val value = primitive(json, field)
        if (!value.isString || value.content.isEmpty()) throw InvalidFieldException(field)
        return value.content
    }

    private fun names(value: JsonElement, field: String): List<String> {
        if (value !is JsonArray) throw InvalidFieldException(field)
        return value.map {
            if (it !is JsonPrimitive || !it.isString) throw InvalidFieldException(field)
            it.content
        }
    }

    private fun amount(json: JsonObject, field: String): Double {
        val value = primitive(json, field)
        if (value.isString || !plainNumber.matches(value.content))
            throw InvalidFieldException(field)
        val number = value.content.toDouble()
        if (!number.isFinite() || number < 0 || number > MAX_AMOUNT)
            throw InvalidFieldException(field)
        return number
    }

    private fun count(json: JsonObject, field: String): Int {
        val number = amount(json, field)
        if (number != Math.rint(number) || number < 1 || number > JobSpec.MAX_TASKS)
            throw InvalidFieldException(field)
        return number.toInt()
    }

    private fun flag(json: JsonObject, field: String): Boolean {
        val value = primitive(json, field)
        if (value.isString) throw InvalidFieldException(field)
        return when (value.content) {
            "true" -> true
            "false" -> false
            else -> throw InvalidFieldException(field)
        }
    }

    private const val MAX_AMOUNT = 1e9
}
