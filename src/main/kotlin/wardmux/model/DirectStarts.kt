package wardmux.model

/**
 * The attempts that direct commands started on the current incarnation of a machine's worker and
 * whose request is in flight or was not answered. Such a request may still be carried out at any
 * time until the incarnation ends.
 *
 * Once the worker lists an attempt, its request can do no more harm as long as the worker remembers
 * the attempt, because a repeated start of a listed attempt has no effect. If the request was the
 * only one with this start, the listing also proves that it was carried out.
 */
class DirectStarts {
    private class OpenStart(
        /** True if the start was also sent in another request or in the response to a heartbeat. */
        var wasSentOtherwise: Boolean
    ) {
        var isListed = false
    }

    private val open = LinkedHashMap<TaskAttempt, OpenStart>()

    /**
     * The time since which a start that the worker does not list has been unanswered, or null if
     * there is none.
     */
    var unansweredSince: Micros? = null
        private set

    /**
     * The attempts that the worker does not list. Their absence from a heartbeat does not prove
     * that they are not on the machine.
     */
    val unconfirmed: List<TaskAttempt>
        get() = open.filterValues { !it.isListed }.keys.toList()

    /** True if no request can be carried out any more. */
    val isEmpty: Boolean
        get() = open.isEmpty()

    /** Whether [attempt] is one of the [unconfirmed] attempts. */
    fun isUnconfirmed(attempt: TaskAttempt): Boolean = open[attempt]?.isListed == false

    /**
     * Whether a request that starts [attempt] may still be carried out. If the worker had forgotten
     * the attempt by then, it would run it again.
     */
    fun mayBeCarriedOut(attempt: TaskAttempt): Boolean = attempt in open

    /**
     * Records that a direct request with the start of [attempt] is sent, which has no other open
     * request. [wasSentBefore] says whether its start was sent before in any way.
     */
    fun recordSent(attempt: TaskAttempt, wasSentBefore: Boolean) {
        open[attempt] = OpenStart(wasSentBefore)
    }

    /** Records that the response to a heartbeat contains the start of [attempt]. */
    fun recordSentInResponse(attempt: TaskAttempt) {
        open[attempt]?.wasSentOtherwise = true
    }

    /**
     * Records that the outcome of a request with the starts of [attempts] is known: each of them
     * was carried out or never will be.
     */
    fun recordOutcome(attempts: List<TaskAttempt>) {
        for (attempt in attempts) open.remove(attempt)
        updateUnanswered()
    }

    /** Records at [now] that a request with the starts of [attempts] was not answered. */
    fun recordUnanswered(attempts: List<TaskAttempt>, now: Micros) {
        if (unansweredSince == null && attempts.any(::isUnconfirmed)) unansweredSince = now
    }

    /** Records that the worker lists [attempts], in any status. */
    fun recordListed(attempts: Collection<TaskAttempt>) {
        for (attempt in attempts) {
            val start = open[attempt] ?: continue
            if (start.wasSentOtherwise) start.isListed = true else open.remove(attempt)
        }
        updateUnanswered()
    }

    /** Removes all starts: a worker refuses direct commands for an earlier incarnation. */
    fun clear() {
        open.clear()
        unansweredSince = null
    }

    private fun updateUnanswered() {
        if (open.values.all { it.isListed }) unansweredSince = null
    }
}
