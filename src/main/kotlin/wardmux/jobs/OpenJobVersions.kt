package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap
import wardmux.model.JobId
import wardmux.model.KeyVersion

/**
 * The versions at which the records of open jobs were last seen in the accepted state. A record
 * that still has this version has not changed, so its job is still open.
 */
class OpenJobVersions {
    private val versions = Object2LongLinkedOpenHashMap<String>()

    /** Records that the record of [job] was in the accepted state at [version]. */
    fun record(job: JobId, version: KeyVersion) {
        versions.putAndMoveToLast(job.value, version.value)
        if (versions.size > MAX_JOBS) versions.removeFirstLong()
    }

    /** Removes the version of [job], because its record has changed. */
    fun remove(job: JobId) {
        versions.removeLong(job.value)
    }

    /** Whether a version of the record of [job] is known. */
    operator fun contains(job: JobId): Boolean = versions.containsKey(job.value)

    /** The known version of the record of [job]. The caller checks that there is one. */
    fun getValue(job: JobId) = KeyVersion(versions.getLong(job.value))

    private companion object {
        /** The maximum number of versions; the least recently recorded one is removed first. */
        const val MAX_JOBS = 20_000
    }
}
