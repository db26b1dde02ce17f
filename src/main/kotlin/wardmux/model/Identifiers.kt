package wardmux.model

import kotlinx.serialization.Serializable

/** The id of a job, as given by the user who submitted it. */
@JvmInline
value class JobId(val value: String) {
    override fun toString() = value
}

/** Identifies the task with the number [index] of a job. Its text form is `job-000412/3`. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "${job.value}/$index"

    companion object {
        /** Parses the text form made by [toString]; returns null if [text] is not a task id. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash <= 0) return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return TaskId(JobId(text.substring(0, slash)), index)
        }
    }
}

/** The id of a machine. An id is never used for another machine later. */
@JvmInline
value class MachineId(val value: String) {
    override fun toString() = value
}

/**
 * The fencing token of one leader's term. Workers accept commands by token, so that an earlier
 * leader cannot command them. The token is the revision of the write that acquired the leader key,
 * so a later leader has a larger token.
 */
@JvmInline
value class FencingToken(val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** A revision of the whole key-value store, which increases with every change. */
@Serializable
@JvmInline
value class Revision(val value: Long) : Comparable<Revision> {
    /** The version of a key whose last write was made at this revision. */
    val keyVersion: KeyVersion
        get() = KeyVersion(value)

    override fun compareTo(other: Revision) = value.compareTo(other.value)

    override fun toString() = value.toString()

    companion object {
        /** The revision before the first change. */
        val ZERO = Revision(0)
    }
}

/**
 * The version of a key: the revision of the key's last change in the key-value store, or [ABSENT]
 * if the key does not exist.
 */
@Serializable
@JvmInline
value class KeyVersion(val value: Long) {
    override fun toString() = value.toString()

    companion object {
        /** The version of a key that does not exist. */
        val ABSENT = KeyVersion(0)
    }
}

/** The id of a lease of the key-value store. Keys that are bound to a lease expire with it. */
@Serializable
@JvmInline
value class LeaseId(val value: Long) {
    override fun toString() = value.toString()
}
