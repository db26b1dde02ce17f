package wardmux.drain

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.model.seconds
import wardmux.serialization.CborFormat
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority

/** Finds the controller that is the elected leader. */
interface DrainLeaderLocator {
    /** The drain service of this controller's term; null if this controller is not the leader. */
    val local: DrainService?

    /** The member name of another controller that is the leader; null if none is known. */
    val remote: String?
}

/**
 * The operators' HTTP interface for drains, which runs on every controller. The leader handles
 * requests itself. Any other controller forwards them to the leader; if that fails, it answers
 * reads from the key-value store and marks the response with [Source.STORE]. A forwarded request is
 * never forwarded again, which prevents a loop between controllers that take each other for the
 * leader.
 */
class DrainApi(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val leader: DrainLeaderLocator,
) {
    /** Handles a request that arrived on the operators' listener. */
    fun handle(call: Input.Request) {
        val path = call.path.substringBefore('?')
        if (path != DrainPaths.DRAINS && !path.startsWith("${DrainPaths.DRAINS}/"))
            return answer(call.id, OperatorResponses.noSuchPath())
        val request = ForwardedRequest(call.method, path, call.body)
        leader.local?.let { service ->
            return service.handle(request) { answerOrReadStore(call.id, request, it) }
        }
        val member =
            leader.remote ?: return answerFromStore(call.id, request, OperatorResponses.UNAVAILABLE)
        forward(call.id, member, request)
    }

    /**
     * Handles a request that another controller forwarded. The response is 409 if this controller
     * is not the leader.
     */
    fun handleForwarded(call: Input.Request) {
        val request =
            CborFormat.decode(ForwardedRequest.serializer(), call.body)
                ?: return context.answer(call.id, HttpStatus.BAD_REQUEST)
        val service = leader.local ?: return context.answer(call.id, HttpStatus.CONFLICT)
        service.handle(request) { response ->
            val forwarded = ForwardedResponse(response.status, response.body, response.retryAfterS)
            val bytes = CborFormat.encode(ForwardedResponse.serializer(), forwarded)
            context.answerBytes(call.id, HttpStatus.OK, bytes)
        }
    }

    private fun forward(call: Long, member: String, request: ForwardedRequest) {
        val body = CborFormat.encode(ForwardedRequest.serializer(), request)
        context.send(Target.Peer(member), "POST", DrainPaths.FORWARDED, body, FORWARD_TIMEOUT) {
            outcome ->
            answerOrReadStore(call, request, responseOf(outcome))
        }
    }

    /**
     * The response to the operator, given the [outcome] of the forwarded request. A request that
     * was sent and got no usable answer may have been carried out, or may still be.
     */
    private fun responseOf(outcome: Outcome): OperatorResponse {
        if (outcome is Outcome.NotSent) return OperatorResponses.UNAVAILABLE
        if (outcome !is Outcome.Response) return OperatorResponses.OUTCOME_UNKNOWN
        if (outcome.status != HttpStatus.OK) return OperatorResponses.UNAVAILABLE
        val forwarded =
            CborFormat.decode(ForwardedResponse.serializer(), outcome.body)
                ?: return OperatorResponses.OUTCOME_UNKNOWN
        return OperatorResponse(forwarded.status, forwarded.body, forwarded.retryAfterS)
    }

    private fun answerOrReadStore(
        call: Long,
        request: ForwardedRequest,
        response: OperatorResponse,
    ) {
        if (response.status == HttpStatus.SERVICE_UNAVAILABLE)
            answerFromStore(call, request, response)
        else answer(call, response)
    }

    /**
     * Answers a read from the key-value store. Other requests, and reads for which the store does
     * not answer, get [fallback].
     */
    private fun answerFromStore(call: Long, request: ForwardedRequest, fallback: OperatorResponse) {
        if (request.method != "GET") return answer(call, fallback)
        val readAt = context.now
        store.scan(DrainRecord.PREFIX, DrainRecord.serializer(), RequestPriority.READ) { found ->
            if (found == null) return@scan answer(call, fallback)
            val age = (context.now - readAt).inSeconds
            val readable = found.items.mapNotNull { it.data }
            val drains = readable.map { DrainStatus(it, Source.STORE, ageS = age) }
            val unreadable =
                found.items
                    .filter { it.data == null }
                    .map { it.key.removePrefix(DrainRecord.PREFIX) }
            val id = request.path.removePrefix(DrainPaths.DRAINS).trim('/')
            val requested = drains.firstOrNull { it.record.request.id == id }
            answer(
                call,
                when {
                    id.isEmpty() -> OperatorResponses.list(DrainList(drains, unreadable))
                    requested != null -> OperatorResponses.status(HttpStatus.OK, requested)
                    else -> OperatorResponses.unknown(id)
                },
            )
        }
    }

    private fun answer(call: Long, response: OperatorResponse) =
        context.answer(call, response.status, response.body, response.retryAfterS)

    private companion object {
        val FORWARD_TIMEOUT = 3.seconds
    }
}
