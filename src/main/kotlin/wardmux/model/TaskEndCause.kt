package wardmux.model

/** The reason why a task attempt ended, as reported by its worker. */
enum class TaskEndCause(private val wireName: String?) {
    /** The task ran to completion, and its result is kept. */
    DONE("done"),

    /** The task's program failed. */
    ERROR("error"),

    /** A controller commanded the worker to stop the task. */
    STOPPED("stopped"),

    /** Another task of the same gang ended. */
    GANG_PEER_ENDED("peers"),

    /** The other tasks of the same gang did not arrive in time. */
    GANG_INCOMPLETE("alone"),

    /** The worker refused the task because it found no such job or task. */
    TASK_UNKNOWN("unknown"),

    /** The worker refused the task for another reason, or gave a cause unknown to this version. */
    REFUSED(null);

    companion object {
        /** The cause with the given [wireName]; [REFUSED] if the name is unknown or null. */
        fun of(wireName: String?): TaskEndCause =
            when (wireName) {
                DONE.wireName -> DONE
                ERROR.wireName -> ERROR
                STOPPED.wireName -> STOPPED
                GANG_PEER_ENDED.wireName -> GANG_PEER_ENDED
                GANG_INCOMPLETE.wireName -> GANG_INCOMPLETE
                TASK_UNKNOWN.wireName -> TASK_UNKNOWN
                else -> REFUSED
            }
    }
}
