package wardmux.model

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

/** Identifies who is entitled to give orders; the revision of the write that took leadership. */
@JvmInline
value class FencingToken(val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Revision of a key's last change in the state service; [ABSENT] means that it does not exist. */
@JvmInline
value class KeyVersion(val value: Long) {
    companion object {
        val ABSENT = KeyVersion(0)
    }
}
