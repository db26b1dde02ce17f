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

/** What came of reading a submission. [id] is given wherever it could be read. */
sealed interface Submission {
    data class Good(val spec: JobSpec) : Submission

    data class Malformed(val id: JobId?, val why: String) : Submission
}

/** Reads submissions strictly: a missing, mistyped, negative or non-finite field is malformed. */
object SubmissionReader {
    const val MAX_TASKS = 100_000
    private val idForm = Regex("job-[0-9]{1,18}")
    private val plainNumber = Regex("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

    private class Wrong(message: String) : Exception(message)

    fun isId(text: String) = idForm.matches(text)

    fun read(body: ByteArray): Submission {
        val json =
            try {
                Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
            } catch (e: SerializationException) {
                return Submission.Malformed(null, "not JSON")
            } catch (e: CharacterCodingException) {
                return Submission.Malformed(null, "not UTF-8")
            }
        if (json !is JsonObject) return Submission.Malformed(null, "not an object")
        var id: JobId? = null
        return try {
            val name = text(json, "name_id")
            if (!isId(name)) throw Wrong("name_id")
            id = JobId(name)
            Submission.Good(spec(name, json))
        } catch (e: Wrong) {
            Submission.Malformed(id, "missing or invalid: ${e.message}")
        }
    }

    private fun spec(id: String, json: JsonObject) =
        JobSpec(
            id = id,
            jobClass = text(json, "jobclass"),
            team = text(json, "owner"),
            kind =
                when (text(json, "shape")) {
                    "batch" -> JobKind.ARRAY
                    "daemon" -> JobKind.SERVICE
                    "group" -> JobKind.GANG
                    else -> throw Wrong("shape")
                },
            priority =
                when (text(json, "urgency")) {
                    "prod" -> PriorityClass.PROD
                    "high" -> PriorityClass.HIGH
                    "normal" -> PriorityClass.NORMAL
                    "idle" -> PriorityClass.IDLE
                    else -> throw Wrong("urgency")
                },
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

    private fun optional(json: JsonObject, field: String): JsonElement? =
        json[field]?.takeIf { it !is JsonNull }

    private fun primitive(json: JsonObject, field: String): JsonPrimitive {
        val value = json[field]
        if (value !is JsonPrimitive || value is JsonNull) throw Wrong(field)
        return value
    }

    private fun text(json: JsonObject, field: String): String {
        val value = primitive(json, field)
        if (!value.isString || value.content.isEmpty()) throw Wrong(field)
        return value.content
    }

    private fun names(value: JsonElement, field: String): List<String> {
        if (value !is JsonArray) throw Wrong(field)
        return value.map {
            if (it !is JsonPrimitive || !it.isString) throw Wrong(field)
            it.content
        }
    }

    private fun amount(json: JsonObject, field: String): Double {
        val value = primitive(json, field)
        if (value.isString || !plainNumber.matches(value.content)) throw Wrong(field)
        val number = value.content.toDouble()
        if (!number.isFinite() || number < 0 || number > MAX_AMOUNT) throw Wrong(field)
        return number
    }

    private fun count(json: JsonObject, field: String): Int {
        val number = amount(json, field)
        if (number != Math.rint(number) || number < 1 || number > MAX_TASKS) throw Wrong(field)
        return number.toInt()
    }

    private fun flag(json: JsonObject, field: String): Boolean {
        val value = primitive(json, field)
        if (value.isString) throw Wrong(field)
        return when (value.content) {
            "true" -> true
            "false" -> false
            else -> throw Wrong(field)
        }
    }

    private const val MAX_AMOUNT = 1e9
}
