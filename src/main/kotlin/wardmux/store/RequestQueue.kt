package wardmux.store

import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Requests of a higher priority, which stand first, are sent before all others. */
enum class RequestPriority {
    LEASE,
    USER_WRITE,
    LEADER,
    READ,
}

/** A request that waits for its turn; it is either sent or expires. */
interface QueuedRequest {
    /** How many writes it makes. */
    val writes: Int

    /** It expires if it was not sent by then. */
    val deadline: Micros

    /** Sends it. */
    fun send()

    /** Ends it unsent. */
    fun expire()
}

/** Requests to the key-value store in the order of their priority, as fast as [limiter] allows. */
class RequestQueue(private val context: CoreContext, private val limiter: RateLimiter) {
    private val queues = List(RequestPriority.entries.size) { ArrayDeque<QueuedRequest>() }

    /** Until then only requests for leases are sent: the store has reported its rate limit. */
    private var pausedUntil = Micros.LONG_AGO

    /** Queues [request] behind the others of its priority, and sends what may be sent. */
    fun add(priority: RequestPriority, request: QueuedRequest) {
        queues[priority.ordinal].addLast(request)
        sendDue()
    }

    /** The store rejected [request] for its rate limit: it goes first, after a pause. */
    fun retry(priority: RequestPriority, request: QueuedRequest) {
        pausedUntil = context.now + RATE_LIMIT_PAUSE
        queues[priority.ordinal].addFirst(request)
    }

    /** Sends what the limits allow; ends requests whose deadline has passed. */
    fun sendDue() {
        limiter.refill()
        expireOverdue()
        for (queue in queues) {
            while (queue.isNotEmpty()) {
                val request = queue.first()
                val isLease = queue === queues[RequestPriority.LEASE.ordinal]
                if (!isLease && (!limiter.allowsRequest || context.now < pausedUntil)) return
                if (!isLease && !limiter.allowsWrites(request.writes)) break
                limiter.spend(request.writes)
                queue.removeFirst()
                request.send()
            }
        }
    }

    /**
     * In every queue, also those whose turn never comes: a request that is neither sent nor ended
     * would keep its caller waiting for ever.
     */
    private fun expireOverdue() {
        for (queue in queues) {
            while (queue.isNotEmpty() && context.now > queue.first().deadline) {
                queue.removeFirst().expire()
            }
        }
    }

    private companion object {
        val RATE_LIMIT_PAUSE = 150.milliseconds
    }
}
