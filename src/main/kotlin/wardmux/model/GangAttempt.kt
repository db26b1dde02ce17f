package wardmux.model

/** One attempt to run all tasks of a gang together. */
class GangAttempt(
    /** The attempt number that all tasks of the gang have in this attempt. */
    val number: Int,
    val startedAt: Micros,
    /**
     * True once a task of the gang was reported as running. Tasks of a gang only start to run all
     * together, so from then on the loss of one task means that the others cannot continue.
     */
    var hasRun: Boolean = false,
) {
    /**
     * True if this attempt can no longer complete. All of its remaining tasks have to be gone from
     * their machines before the next attempt starts.
     */
    var isAborted = false
}
