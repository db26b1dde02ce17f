package wardmux.model

/** One attempt of a gang as a whole. */
class GangAttempt(
    /** The attempt number of all its tasks. */
    val number: Int,
    val startedAt: Micros,
    /** All its tasks ran at the same time: without one of them the others can't go on. */
    var hasRun: Boolean = false,
) {
    /** It can't be completed: what is left of it has to be gone before the next attempt. */
    var isAborted = false
}
