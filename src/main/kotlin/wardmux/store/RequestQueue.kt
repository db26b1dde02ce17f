package wardmux.store

import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.milliseconds

/** The order in which requests are sent when there is not room for all. */
enum class RequestPriority {
    LEASE,
    USER_WRITE,
    LEADER,
    READ,
}

/** A request that waits for its turn; it is either sent or refused, and so always answered. */
class QueuedRequest(
    /** How many changes it makes. */
    val writes: Int,
    /** It is refused if it was not sent by then. */
    val deadline: Micros,
    /** Sends it. */
    val send: () -> Unit,
    /** Answers whoever asked that it was not sent. */
    val refuse: () -> Unit,
)

/** Requests to the state service in the order of their priority, as fast as [limiter] allows. */
class RequestQueue(private val context: CoreContext, private val limiter: RateLimiter) {
    private val queues = List(RequestPriority.entries.size) { ArrayDeque<QueuedRequest>() }

    /** Nothing but leases is sent until then: the service has refused for its limits. */
    private var pausedUntil = Micros.LONG_AGO

    /** Queues [request] behind the others of its priority, and sends what may be sent. */
    fun add(priority: RequestPriority, request: QueuedRequest) {
        queues[priority.ordinal].addLast(request)
        sendDue()
    }

    /** The service refused [request] for its limits: it goes first, after a pause. */
    fun retry(priority: RequestPriority, request: QueuedRequest) {
        pausedUntil = context.now + LIMITED_PAUSE
        queues[priority.ordinal].addFirst(request)
    }

    /** Sends what the limits allow; refuses what has waited too long. */
    fun sendDue() {
        limiter.refill()
        refuseExpired()
        for (queue in queues) {
            while (queue.isNotEmpty()) {
                val request = queue.first()
                val lease = queue === queues[RequestPriority.LEASE.ordinal]
                if (!lease && (!limiter.allowsRequest || context.now < pausedUntil)) return
                if (!lease && !limiter.allowsWrites(request.writes)) break
                limiter.spend(request.writes)
                queue.removeFirst()
                request.send()
            }
        }
    }

    /**
     * In every queue, also those that it is never the turn of: whoever asked waits for an answer,
     * and a request that is neither sent nor refused would keep it waiting for ever.
     */
    private fun refuseExpired() {
        for (queue in queues) {
            while (queue.isNotEmpty() && context.now > queue.first().deadline) {
                queue.removeFirst().refuse()
            }
        }
    }

    private companion object {
        val LIMITED_PAUSE = 150.milliseconds
    }
}
