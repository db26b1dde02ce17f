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
 * The stored record of a job: the only truth on whether it is accepted, cancelled or done. It is
 * never removed; a done job's record needs no more than its state.
 */
@Serializable
data class JobRecord(
    @SerialName("state") val state: JobState,
    /** Time of day of the acceptance, in microseconds. */
    @SerialName("acceptedAt") val acceptedAt: Long,
    @SerialName("spec") val spec: JobSpec? = null,
) {
    /** The stored form. */
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    /**
     * The record of the job once it is cancelled. Where that takes more than [maxBytes], as the job
     * was accepted under higher limits, it leaves out what is not needed to stop what is left of
     * the job.
     */
    fun toCancelled(maxBytes: Int): JobRecord {
        val complete = copy(state = JobState.CANCELLED)
        if (jsonBytes(complete.toJson()) <= maxBytes) return complete
        return complete.copy(
            spec = spec?.copy(jobClass = "", image = "", types = null, zone = null)
        )
    }

    companion object {
        /** The most bytes that the record of a job with this specification takes. */
        fun maxBytes(spec: JobSpec): Int =
            jsonBytes(JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec).toJson())

        /** The bytes that it takes where the store escapes no characters. */
        private fun minBytes(spec: JobSpec): Int =
            JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec)
                .toJson()
                .toString()
                .encodeToByteArray()
                .size

        /** A larger record has a long list of types, or other long names. */
        private const val USUAL_RECORD_BYTES = 2_000

        /**
         * The specification to record for a job so that its record fits [maxBytes], or null if none
         * does. Of its types only those in [usefulTypes] are kept, each once; all else is kept as
         * its user gave it. Whether a record fits that does so only unescaped, the store decides
         * when it is written.
         */
        fun shortened(spec: JobSpec, usefulTypes: Set<String>, maxBytes: Int): JobSpec? {
            if (maxBytes(spec) <= minOf(maxBytes, USUAL_RECORD_BYTES)) return spec
            val shortened = spec.copy(types = spec.types?.filter { it in usefulTypes }?.distinct())
            return shortened.takeIf { minBytes(it) <= maxBytes }
        }

        /** Prefix of the keys of all job records. */
        const val PREFIX = "j/"

        /** Prefix of the copies of open jobs' records, for the leader to read and watch. */
        const val OPEN_PREFIX = "q/"

        /**
         * Prefix of the copies of cancelled jobs' records, while something of the job may be on a
         * machine. Pages of a job that is neither here nor open are of one that is done: a new
         * leader need not read its record.
         */
        const val CANCELLED_PREFIX = "c/"

        /** The key of a job's record. */
        fun key(job: JobId) = PREFIX + job.value

        /** The key of the copy of an open job's record. */
        fun openKey(job: JobId) = OPEN_PREFIX + job.value

        /** The key of the copy of a cancelled job's record. */
        fun cancelledKey(job: JobId) = CANCELLED_PREFIX + job.value

        /** The record in [json]; null, which is logged, if it is none. */
        fun decode(json: JsonElement): JobRecord? =
            try {
                lenientJson.decodeFromJsonElement(serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<JobRecord>().error("a stored job record can't be decoded: {}", e.message)
                null
            }
    }
}
