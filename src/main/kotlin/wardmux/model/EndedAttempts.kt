package wardmux.model

/**
 * The ended attempts that a machine lists in its heartbeats, with the time at which the machine
 * first reported each of them as ended. The machine keeps listing an attempt until it is told to
 * forget it.
 */
class EndedAttempts {
    private val firstReportedAt = HashMap<TaskAttempt, Micros>()

    /** The number of ended attempts that the machine lists. */
    val count: Int
        get() = firstReportedAt.size

    /**
     * Replaces the attempts by [listed], the ended attempts of a heartbeat that arrived at [now].
     */
    fun update(listed: Collection<TaskAttempt>, now: Micros) {
        for (attempt in listed) firstReportedAt.putIfAbsent(attempt, now)
        if (firstReportedAt.size > listed.size) firstReportedAt.keys.retainAll(listed.toHashSet())
    }

    /**
     * Returns true if [attempt] was first reported as ended more than [retention] before [now].
     * Nothing else ends the retention, however many attempts the machine lists.
     */
    fun isRetentionOver(attempt: TaskAttempt, now: Micros, retention: Micros): Boolean {
        val reportedSince = firstReportedAt[attempt] ?: return false
        return now - reportedSince > retention
    }

    /** Removes all attempts, because a new incarnation of the worker starts without tasks. */
    fun clear() = firstReportedAt.clear()
}
