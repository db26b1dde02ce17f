package wardmux.store

import kotlinx.serialization.SerializationException
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Converts a response of the key-value store into a result. */
internal fun interface ResponseReader<T> {
    /**
     * Returns the result of a request that was answered with [status] and the body [text]. Throws a
     * [SerializationException] if the body cannot be decoded.
     */
    fun read(status: Int, text: String): StoreResult<T>
}

/** One HTTP request to the key-value store. */
internal class StoreRequest<T>(
    val priority: RequestPriority,
    val method: String,
    val path: String,
    /** How long to wait for a response after the request was sent. */
    val timeout: Micros,
    val body: String = "",
    /** The number of writes that the request makes, for the write rate limit. */
    val writes: Int = 0,
    val reader: ResponseReader<T>,
)

/** Sends requests to the key-value store within this controller's share of the rate limits. */
internal class StoreClient(
    private val context: CoreContext,
    limits: StoreLimits,
    controllers: Int,
) {
    private val log = logger<StoreClient>()

    /** Limits the rate at which the queue sends requests. */
    val limiter = RateLimiter(context, limits, controllers)
    private val queue = RequestQueue(context, limiter)

    /** When the store last sent a response with a status other than 503 (service unavailable). */
    var lastAvailableAt = Micros.LONG_AGO
        private set

    /**
     * The time since which every request has got no response or one with status 503 (service
     * unavailable). Null if the last response had another status, or if no request was sent yet.
     */
    var unavailableSince: Micros? = null
        private set

    /** Queues [request] and calls [onResult] exactly once with its result. */
    fun <T> submit(request: StoreRequest<T>, onResult: (StoreResult<T>) -> Unit) =
        queue.add(request.priority, PendingRequest(request, onResult))

    /** Sends the queued requests that the limits allow, and expires those past their deadline. */
    fun sendDue() = queue.sendDue()

    private inner class PendingRequest<T>(
        private val request: StoreRequest<T>,
        private val onResult: (StoreResult<T>) -> Unit,
    ) : QueuedRequest {
        private val body = request.body.encodeToByteArray()
        override val writes: Int
            get() = request.writes

        override val deadline = context.now + MAX_QUEUE_TIME

        override fun send() {
            val target = Target.KeyValueStore
            context.send(target, request.method, request.path, body, request.timeout) { outcome ->
                if (isRateLimited(outcome) && context.now < deadline) {
                    // Other controllers have exhausted the rate limits for now.
                    queue.retry(request.priority, this)
                } else {
                    recordAvailability(outcome)
                    onResult(resultOf(outcome, request.reader))
                }
            }
        }

        override fun expire() = onResult(StoreResult.NotExecuted)
    }

    private fun recordAvailability(outcome: Outcome) {
        if (outcome is Outcome.Response && outcome.status != HttpStatus.SERVICE_UNAVAILABLE) {
            lastAvailableAt = context.now
            unavailableSince = null
        } else if (unavailableSince == null) {
            unavailableSince = context.now
        }
    }

    private fun isRateLimited(outcome: Outcome) =
        outcome is Outcome.Response && outcome.status == HttpStatus.TOO_MANY_REQUESTS

    private fun <T> resultOf(outcome: Outcome, reader: ResponseReader<T>): StoreResult<T> =
        when (outcome) {
            is Outcome.NotSent -> StoreResult.NotExecuted
            is Outcome.NoResponse -> StoreResult.Indeterminate
            is Outcome.Response ->
                try {
                    reader.read(outcome.status, outcome.text)
                } catch (e: SerializationException) {
                    log.error(
                        "failed to decode a key-value store response with status {}: {}",
                        outcome.status,
                        e.message,
                    )
                    StoreResult.Indeterminate
                }
        }

    companion object {
        /** How long a request may wait in the queue. After that it expires without being sent. */
        private val MAX_QUEUE_TIME = 1_200.milliseconds

        /** Returns the result of a request that was answered with an unexpected [status]. */
        fun failure(status: Int): StoreResult<Nothing> =
            when (status) {
                HttpStatus.TOO_MANY_REQUESTS,
                HttpStatus.SERVICE_UNAVAILABLE -> StoreResult.NotExecuted
                HttpStatus.BAD_REQUEST -> StoreResult.InvalidRequest
                else -> StoreResult.Indeterminate
            }
    }
}
