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

/** Turns a response of the key-value store into a result. */
internal fun interface ResponseReader<T> {
    /**
     * The result of a request that was answered with [status] and the body [text]; throws
     * [SerializationException] if the body can't be decoded.
     */
    fun read(status: Int, text: String): StoreResult<T>
}

/** One HTTP request to the key-value store. */
internal class StoreRequest<T>(
    val priority: RequestPriority,
    val method: String,
    val path: String,
    /** How long the store may take to answer once the request was sent. */
    val timeout: Micros,
    val body: String = "",
    /** How many writes it makes, for the limit on these. */
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

    /** The rate limits that the queue keeps to. */
    val limiter = RateLimiter(context, limits, controllers)
    private val queue = RequestQueue(context, limiter)

    /** When the store last answered with anything but that it is unavailable. */
    var lastAvailableAt = Micros.LONG_AGO
        private set

    /** Since when no request was answered, or null if the last one was or none was sent yet. */
    var unavailableSince: Micros? = null
        private set

    /** Queues [request]; [onResult] gets its result, exactly once. */
    fun <T> submit(request: StoreRequest<T>, onResult: (StoreResult<T>) -> Unit) =
        queue.add(request.priority, PendingRequest(request, onResult))

    /** Sends what the limits allow, and rejects what has waited too long. */
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
                    // Other controllers have used up the limits for now.
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
                        "response {} of the key-value store can't be decoded: {}",
                        outcome.status,
                        e.message,
                    )
                    StoreResult.Indeterminate
                }
        }

    companion object {
        /** A request that was not sent by then is not executed. */
        private val MAX_QUEUE_TIME = 1_200.milliseconds

        /** The result of a request that was answered with a [status] other than the expected. */
        fun failure(status: Int): StoreResult<Nothing> =
            when (status) {
                HttpStatus.TOO_MANY_REQUESTS,
                HttpStatus.SERVICE_UNAVAILABLE -> StoreResult.NotExecuted
                HttpStatus.BAD_REQUEST -> StoreResult.InvalidRequest
                else -> StoreResult.Indeterminate
            }
    }
}
