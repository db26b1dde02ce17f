package wardmux.model

/** Why a task ended, as its worker says. */
enum class TaskEndCause(private val wireName: String?) {
    /** It ran to its end and its result is kept. */
    DONE("done"),

    /** The program failed. */
    ERROR("error"),

    /** A controller had it stopped. */
    STOPPED("stopped"),

    /** Another task of its gang ended. */
    GANG_PEER_ENDED("peers"),

    /** The other tasks of its gang were not there in time. */
    GANG_INCOMPLETE("alone"),

    /** The worker refused it: it found no such job or task. */
    TASK_UNKNOWN("unknown"),

    /** The worker refused it for any other reason, or for one that this version does not know. */
    REFUSED(null);

    companion object {
        /** The cause that workers call [wireName]. */
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
