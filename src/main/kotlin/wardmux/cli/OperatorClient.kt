package wardmux.cli

import io.netty.channel.nio.NioEventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.drain.DrainError
import wardmux.http.HttpClient
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** The result of a request that was sent to the controllers until one answered. */
sealed interface OperatorReply {
    /** A controller gave a final answer, that is any status but 503. */
    class Answered(val status: Int, val body: String) : OperatorReply

    /**
     * No controller gave a final answer within the timeout. [mayHaveBeenCarriedOut] is true if a
     * request was sent and got no response, here or between two controllers.
     */
    class TimedOut(val mayHaveBeenCarriedOut: Boolean) : OperatorReply
}

/**
 * Sends a request to the controllers in turn until one gives a final answer or the timeout expires.
 * Repeating a request is safe because all requests are idempotent: starting a drain again with the
 * same id does not start another one.
 */
class OperatorClient(private val addresses: List<InetSocketAddress>, private val timeout: Micros) :
    AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val clients =
        addresses.map { HttpClient(group, it, 1, MAX_RESPONSE_BYTES, keepAlive = false) }

    /** Repeats a request until the status is not 503 or the timeout expires. */
    fun sendUntilAnswered(method: String, path: String, body: String): OperatorReply {
        val deadline = System.nanoTime() + timeout.value * NANOS_PER_MICRO
        var mayHaveBeenCarriedOut = false
        var nextClient = 0
        while (System.nanoTime() < deadline) {
            val outcome = sendOnce(clients[nextClient++ % clients.size], method, path, body)
            if (isOutcomeUnknown(outcome)) mayHaveBeenCarriedOut = true
            if (outcome is Outcome.Response && outcome.status != HttpStatus.SERVICE_UNAVAILABLE)
                return OperatorReply.Answered(outcome.status, outcome.text)
            Thread.sleep(RETRY_PAUSE_MILLIS)
        }
        return OperatorReply.TimedOut(mayHaveBeenCarriedOut)
    }

    private fun isOutcomeUnknown(outcome: Outcome): Boolean =
        when (outcome) {
            is Outcome.NotSent -> false
            is Outcome.NoResponse -> true
            is Outcome.Response -> DrainError.decode(outcome.text)?.outcomeUnknown == true
        }

    private fun sendOnce(client: HttpClient, method: String, path: String, body: String): Outcome {
        val outcome = CompletableFuture<Outcome>()
        group.next().execute {
            client.send(method, path, body.encodeToByteArray(), REQUEST_TIMEOUT, outcome::complete)
        }
        return outcome.get(REQUEST_TIMEOUT.value + OUTCOME_WAIT_MARGIN.value, TimeUnit.MICROSECONDS)
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
        const val NANOS_PER_MICRO = 1_000L
        const val RETRY_PAUSE_MILLIS = 200L
        val REQUEST_TIMEOUT = 5.seconds

        /** How much longer than the request timeout to wait for the outcome from the event loop. */
        val OUTCOME_WAIT_MARGIN = 500.milliseconds
    }
}
