package wardmux.model

/**
 * The attempts that ended on a machine without completing, with the time at which the machine first
 * reported each of them as ended.
 */
class EndedAttempts {
    /** In insertion order, so the attempt that was reported first is the first key. */
    private val firstReportedAt = LinkedHashMap<TaskAttempt, Micros>()

    /**
     * Returns true if the machine may forget [attempt], which it reports as ended: the attempt was
     * first reported as ended more than [retention] ago, or it is the oldest of more than
     * [MAX_RETAINED_ATTEMPTS] attempts. An attempt that may be forgotten is removed from this list.
     */
    fun mayForget(attempt: TaskAttempt, now: Micros, retention: Micros): Boolean {
        val reportedSince = firstReportedAt.getOrPut(attempt) { now }
        val exceedsLimit =
            firstReportedAt.size > MAX_RETAINED_ATTEMPTS && firstReportedAt.keys.first() == attempt
        if (!exceedsLimit && now - reportedSince <= retention) return false
        firstReportedAt.remove(attempt)
        return true
    }

    /** Removes all attempts, because a new incarnation of the worker starts without tasks. */
    fun clear() = firstReportedAt.clear()

    private companion object {
        const val MAX_RETAINED_ATTEMPTS = 64
    }
}
