package wardmux.model

/** One try of a gang as a whole. */
class GangAttempt(
    val number: Int,
    val startedAt: Micros,
    /** All had gathered once: without one of them the others can't go on. */
    var hasRun: Boolean = false,
) {
    /** It comes to nothing any more: what is left of it has to be gone before the next. */
    var isAborted = false
}
