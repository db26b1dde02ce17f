package wardmux.model

/**
 * The attempts that this leader's direct commands started on the current incarnation of a machine's
 * worker. A request that is in flight or was not answered may still be carried out at any time, and
 * a copy of any request may arrive again, until the incarnation ends or the worker has seen a
 * higher fencing token. No time ends this.
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

    /** The starts whose request is in flight or was not answered. */
    private val open = LinkedHashMap<TaskAttempt, OpenStart>()

    /** All starts that were sent, answered or not, whose attempts may have to be remembered. */
    private val sent = HashSet<TaskAttempt>()

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

    /** The number of attempts whose start, or a copy of it, may arrive. */
    val sentCount: Int
        get() = sent.size

    /** True if no request is in flight or unanswered. */
    val isEmpty: Boolean
        get() = open.isEmpty()

    /** Whether [attempt] is one of the [unconfirmed] attempts. */
    fun isUnconfirmed(attempt: TaskAttempt): Boolean = open[attempt]?.isListed == false

    /**
     * Whether a request that starts [attempt], or a copy of one, may still arrive. If the worker
     * had forgotten the attempt by then, it would run it again.
     */
    fun mayArrive(attempt: TaskAttempt): Boolean = attempt in sent

    /**
     * Records that a direct request with the start of [attempt] is sent, which has no other open
     * request. [wasSentBefore] says whether its start was sent before in any way.
     */
    fun recordSent(attempt: TaskAttempt, wasSentBefore: Boolean) {
        open[attempt] = OpenStart(wasSentBefore)
        sent.add(attempt)
    }

    /** Records that the last request with the starts of [attempts] was not sent after all. */
    fun recordNotSent(attempts: List<TaskAttempt>) {
        sent.removeAll(attempts.toHashSet())
        recordOutcome(attempts)
    }

    /** Records that the worker is told to forget [attempt], because a late start does no harm. */
    fun recordForgotten(attempt: TaskAttempt) {
        sent.remove(attempt)
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
        sent.clear()
        unansweredSince = null
    }

    private fun updateUnanswered() {
        if (open.values.all { it.isListed }) unansweredSince = null
    }
}
