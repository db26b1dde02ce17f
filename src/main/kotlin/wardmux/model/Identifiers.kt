package wardmux.model

import kotlinx.serialization.Serializable

/** The id of a job, as its user gave it. */
@JvmInline
value class JobId(val value: String) {
    override fun toString() = value
}

/** Task [index] of a job; on the wire `job-000412/3`. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "${job.value}/$index"

    companion object {
        /** The inverse of [toString]; null if [text] is no task id. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash <= 0) return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return TaskId(JobId(text.substring(0, slash)), index)
        }
    }
}

/** The id of a machine, unique for ever. */
@JvmInline
value class MachineId(val value: String) {
    override fun toString() = value
}

/**
 * Identifies one leadership, and with it who may command workers: the revision of the write that
 * took the leader key. A later leader's token is larger.
 */
@JvmInline
value class FencingToken(val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Counts the changes of the whole key-value store. */
@Serializable
@JvmInline
value class Revision(val value: Long) : Comparable<Revision> {
    /** The version of a key that was written at this revision. */
    val keyVersion: KeyVersion
        get() = KeyVersion(value)

    override fun compareTo(other: Revision) = value.compareTo(other.value)

    override fun toString() = value.toString()

    companion object {
        /** Before all changes. */
        val ZERO = Revision(0)
    }
}

/** The revision of a key's last change in the key-value store; [ABSENT] if it does not exist. */
@Serializable
@JvmInline
value class KeyVersion(val value: Long) {
    override fun toString() = value.toString()

    companion object {
        /** The version of a key that does not exist. */
        val ABSENT = KeyVersion(0)
    }
}

/** A lease of the key-value store, to which keys can be bound. */
@Serializable
@JvmInline
value class LeaseId(val value: Long) {
    override fun toString() = value.toString()
}
