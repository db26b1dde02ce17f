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
 * The only truth on whether a job is accepted, cancelled or done. It stays for ever; a done job's
 * record needs no more than its state.
 */
@Serializable
data class JobRecord(
    @SerialName("state") val state: JobState,
    /** Time of day of the acceptance, in microseconds. */
    @SerialName("acceptedAt") val acceptedAt: Long,
    @SerialName("spec") val spec: JobSpec? = null,
) {
    fun toJson(): JsonElement = lenientJson.encodeToJsonElement(serializer(), this)

    /**
     * Cancelled. A record that the version before accepted may be larger than a value may be now:
     * what is left of the job is found and taken down by less.
     */
    fun toCancelled(maxBytes: Int): JobRecord {
        val whole = copy(state = JobState.CANCELLED)
        if (jsonBytes(whole.toJson()) <= maxBytes) return whole
        return whole.copy(spec = spec?.copy(jobClass = "", image = "", types = null, zone = null))
    }

    companion object {
        /** The most bytes that a job's record takes. */
        fun maxBytes(spec: JobSpec): Int =
            jsonBytes(JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec).toJson())

        /** What it takes where the service keeps all characters as they are. */
        private fun minBytes(spec: JobSpec): Int =
            JobRecord(JobState.CANCELLED, Long.MAX_VALUE, spec)
                .toJson()
                .toString()
                .encodeToByteArray()
                .size

        /** A larger one holds a list of types that is dear to look through, if nothing else. */
        private const val USUAL_BYTES = 2_000

        /**
         * What is recorded of a job so that its record takes [maxBytes], or null if it can't. A
         * type that none of its tasks can go to, or that is named twice, is of no use to anybody;
         * all else is kept as its user named it. If it fits only where nothing is escaped, the
         * service tells: the record is not written again for as long as the job is open.
         */
        fun shortened(spec: JobSpec, usefulTypes: Set<String>, maxBytes: Int): JobSpec? {
            if (maxBytes(spec) <= minOf(maxBytes, USUAL_BYTES)) return spec
            val shorter = spec.copy(types = spec.types?.filter { it in usefulTypes }?.distinct())
            return shorter.takeIf { minBytes(it) <= maxBytes }
        }

        const val PREFIX = "j/"

        /**
         * Holds the record of each job that is not over yet, for the leader to watch and reload.
         */
        const val OPEN_PREFIX = "q/"

        /**
         * Holds the record of each cancelled job of which something may still be on a machine.
         * Pages of a job that is neither here nor open are of one that is done: a new leader need
         * not ask for its record.
         */
        const val CANCELLED_PREFIX = "c/"

        fun key(job: JobId) = PREFIX + job.value

        fun openKey(job: JobId) = OPEN_PREFIX + job.value

        fun cancelledKey(job: JobId) = CANCELLED_PREFIX + job.value

        /** Null if what is stored is no record: it must not end or stop a controller. */
        fun decode(json: JsonElement): JobRecord? =
            try {
                lenientJson.decodeFromJsonElement(serializer(), json)
            } catch (e: IllegalArgumentException) {
                logger<JobRecord>().error("a stored job can't be read: {}", e.message)
                null
            }
    }
}
