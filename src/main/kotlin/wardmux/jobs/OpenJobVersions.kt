package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap
import wardmux.model.JobId
import wardmux.model.KeyVersion

/** The versions that the records of open jobs had when they were last seen as accepted. */
class OpenJobVersions {
    private val versions = Object2LongLinkedOpenHashMap<String>()

    /** The record of [job] was seen as accepted at [version]. */
    fun record(job: JobId, version: KeyVersion) {
        versions.putAndMoveToLast(job.value, version.value)
        if (versions.size > MAX_JOBS) versions.removeFirstLong()
    }

    /** The record of [job] has changed. */
    fun remove(job: JobId) {
        versions.removeLong(job.value)
    }

    /** A version of the record of [job] is known. */
    operator fun contains(job: JobId): Boolean = versions.containsKey(job.value)

    /** The version of the record of [job], which must be known. */
    fun getValue(job: JobId) = KeyVersion(versions.getLong(job.value))

    private companion object {
        const val MAX_JOBS = 20_000
    }
}
