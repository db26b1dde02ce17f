package wardmux.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.serialization.jsonBytes
import wardmux.serialization.lenientJson

/**
 * The stored record of a job. It alone determines whether the job is accepted, cancelled or done.
 * The record is never removed; the record of a job that is done only needs the state.
 */
@Serializable
data class JobRecord(
    @SerialName("state") val state: JobState,
    /** Time of day at which the job was accepted, in microseconds. */
    @SerialName("acceptedAt") val acceptedAt: Long,
    @SerialName("spec") val spec: JobSpec? = null,
) {
    /** Encodes this record in its stored form. */
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    /**
     * Returns the record of the job after its cancellation. If that record takes more than
     * [maxBytes], because the job was accepted under a higher size limit, the fields that are not
     * needed to stop the remaining tasks of the job are left empty.
     */
    fun toCancelled(maxBytes: Int): JobRecord {
        val complete = copy(state = JobState.CANCELLED)
        if (jsonBytes(complete.toJson()) <= maxBytes) return complete
        return complete.copy(
            spec = spec?.copy(jobClass = "", image = "", types = null, zone = null)
        )
    }

    companion object {
        /** The maximum number of bytes of the record of a job with this specification. */
        fun maxBytes(spec: JobSpec): Int =
            jsonBytes(JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec).toJson())

        /**
         * The number of bytes of the record of a job with this specification if the store escapes
         * no characters.
         */
        private fun minBytes(spec: JobSpec): Int =
            JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec)
                .toJson()
                .toString()
                .encodeToByteArray()
                .size

        /** The usual maximum size in bytes; larger records have many types or other long names. */
        private const val USUAL_RECORD_BYTES = 2_000

        /**
         * Returns the specification to store for a job so that its record fits into [maxBytes], or
         * null if that is not possible. If the record is large, only the machine types in
         * [usefulTypes] are kept, without duplicates. All other fields are kept as submitted. If
         * the record only fits when no characters are escaped, the store decides whether it accepts
         * the record when it is written.
         */
        fun shortened(spec: JobSpec, usefulTypes: Set<String>, maxBytes: Int): JobSpec? {
            if (maxBytes(spec) <= minOf(maxBytes, USUAL_RECORD_BYTES)) return spec
            val shortened = spec.copy(types = spec.types?.filter { it in usefulTypes }?.distinct())
            return shortened.takeIf { minBytes(it) <= maxBytes }
        }

        /** The key prefix of all job records. */
        const val PREFIX = "j/"

        /**
         * The key prefix of copies of the records of open jobs, which the leader reads and watches.
         */
        const val OPEN_PREFIX = "q/"

        /**
         * The key prefix of copies of the records of cancelled jobs. A copy exists while a task of
         * the job may be on a machine. A job that has task pages, but neither this copy nor the one
         * under [OPEN_PREFIX], is done, so a new leader need not read its record.
         */
        const val CANCELLED_PREFIX = "c/"

        /** The key of the record of [job]. */
        fun key(job: JobId) = PREFIX + job.value

        /** The key of the copy of the record of [job] while it is open. */
        fun openKey(job: JobId) = OPEN_PREFIX + job.value

        /** The key of the copy of the record of [job] after its cancellation. */
        fun cancelledKey(job: JobId) = CANCELLED_PREFIX + job.value

        /** Decodes the record in [json]; logs an error and returns null if it is not valid. */
        fun decode(json: JsonElement): JobRecord? =
            try {
                lenientJson.decodeFromJsonElement(serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<JobRecord>().error("failed to decode a stored job record: {}", e.message)
                null
            }
    }
}
