package wardmux.model

/** Attempts that ended on a machine without completing, and when that was first reported. */
class EndedAttempts {
    /** The oldest first. */
    private val firstReportedAt = LinkedHashMap<TaskAttempt, Micros>()

    /**
     * Whether the machine may forget [attempt], which it reports as ended: if it ended more than
     * [retention] ago, or is the oldest of very many.
     */
    fun mayForget(attempt: TaskAttempt, now: Micros, retention: Micros): Boolean {
        val reportedSince = firstReportedAt.getOrPut(attempt) { now }
        val exceedsLimit =
            firstReportedAt.size > MAX_RETAINED_ATTEMPTS && firstReportedAt.keys.first() == attempt
        if (!exceedsLimit && now - reportedSince <= retention) return false
        firstReportedAt.remove(attempt)
        return true
    }

    /** A new incarnation of the worker begins without tasks. */
    fun clear() = firstReportedAt.clear()

    private companion object {
        const val MAX_RETAINED_ATTEMPTS = 64
    }
}
