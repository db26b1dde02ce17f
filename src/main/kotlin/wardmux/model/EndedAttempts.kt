package wardmux.model

/** Attempts that ended on a machine without completing, and when that was first reported. */
class EndedAttempts {
    /** The oldest first. */
    private val reportedAt = LinkedHashMap<TaskAttempt, Micros>()

    /**
     * Whether the machine may forget [attempt], which it reports as ended: if it ended more than
     * [keptFor] ago, or is the oldest of very many.
     */
    fun mayForget(attempt: TaskAttempt, now: Micros, keptFor: Micros): Boolean {
        val since = reportedAt.getOrPut(attempt) { now }
        val isExcess = reportedAt.size > MAX_ATTEMPTS && reportedAt.keys.first() == attempt
        if (!isExcess && now - since <= keptFor) return false
        reportedAt.remove(attempt)
        return true
    }

    /** A new incarnation of the worker begins without tasks. */
    fun clear() = reportedAt.clear()

    private companion object {
        const val MAX_ATTEMPTS = 64
    }
}
