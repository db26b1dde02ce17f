package wardmux.store

import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.milliseconds

/**
 * The priorities of requests, from the highest to the lowest. Requests of a higher priority are
 * sent first.
 */
enum class RequestPriority {
    LEASE,
    USER_WRITE,
    LEADER,
    READ,
}

/** A request in the queue, which is either sent or expires. */
interface QueuedRequest {
    /** The number of writes that the request makes. */
    val writes: Int

    /** The request expires if it has not been sent by this time. */
    val deadline: Micros

    /** Sends the request. */
    fun send()

    /** Ends the request without sending it. */
    fun expire()
}

/** Sends requests to the key-value store in the order of their priority, as [limiter] allows. */
class RequestQueue(private val context: CoreContext, private val limiter: RateLimiter) {
    private val queues = List(RequestPriority.entries.size) { ArrayDeque<QueuedRequest>() }

    /**
     * Until this time only requests for leases are sent, because the store rejected a request for
     * exceeding the rate limit.
     */
    private var pausedUntil = Micros.LONG_AGO

    /** Adds [request] behind the others of its [priority], and sends what the limits allow. */
    fun add(priority: RequestPriority, request: QueuedRequest) {
        queues[priority.ordinal].addLast(request)
        sendDue()
    }

    /**
     * Puts [request], which the store rejected for exceeding the rate limit, at the front of its
     * [priority]. For a short time only requests for leases are sent.
     */
    fun retry(priority: RequestPriority, request: QueuedRequest) {
        pausedUntil = context.now + RATE_LIMIT_PAUSE
        queues[priority.ordinal].addFirst(request)
    }

    /** Sends the requests that the limits allow, and expires those whose deadline has passed. */
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
     * Expires overdue requests in the queues of all priorities, including those that are never
     * reached because of a backlog of higher priority. A request that is neither sent nor expired
     * would leave its caller waiting indefinitely.
     */
    private fun expireOverdue() {
        for (queue in queues) {
            while (queue.isNotEmpty() && context.now > queue.first().deadline) {
                queue.removeFirst().expire()
            }
        }
    }

    private companion object {
        /** How long only requests for leases are sent after the store reported its rate limit. */
        val RATE_LIMIT_PAUSE = 150.milliseconds
    }
}
