package wardmux.drain

import kotlinx.serialization.KSerializer
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.model.seconds
import wardmux.serialization.CborFormat
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority

/** Answers to operators. */
object OperatorResponses {
    private const val RETRY_AFTER_S = 1

    /** Nobody can decide now; at once, with when to come back. */
    val UNAVAILABLE =
        error(HttpStatus.SERVICE_UNAVAILABLE, DrainError("no leader can decide now"), RETRY_AFTER_S)

    /** A drain as it is. */
    fun status(code: Int, status: DrainStatus) = of(code, DrainStatus.serializer(), status)

    /** All drains. */
    fun list(list: DrainList) = of(HttpStatus.OK, DrainList.serializer(), list)

    /** What a drain would do. */
    fun check(check: DrainCheck) = of(HttpStatus.OK, DrainCheck.serializer(), check)

    /** The request is wrong; [problem] names the field. */
    fun malformed(problem: String) = error(HttpStatus.BAD_REQUEST, DrainError(problem))

    /** There is no drain with this id. */
    fun unknown(id: String) = error(HttpStatus.NOT_FOUND, DrainError("no such drain: $id"))

    /** The drain's [state] does not allow what was asked for. */
    fun conflict(why: String, state: DrainState) =
        error(HttpStatus.CONFLICT, DrainError(why, state))

    /** There is no such path. */
    fun noSuchPath() = error(HttpStatus.NOT_FOUND, DrainError("no such path"))

    /** The path is not asked with this method. */
    fun wrongMethod() = error(HttpStatus.METHOD_NOT_ALLOWED, DrainError("use GET or POST"))

    private fun error(code: Int, error: DrainError, retryAfterS: Int? = null) =
        OperatorResponse(
            code,
            operatorJson.encodeToString(DrainError.serializer(), error),
            retryAfterS,
        )

    private fun <T> of(code: Int, serializer: KSerializer<T>, value: T) =
        OperatorResponse(code, operatorJson.encodeToString(serializer, value))
}

/**
 * The operators' interface on every controller. A leader answers by itself; any other passes on to
 * it, and where that fails answers questions from the state service, saying so. It never passes on
 * what was passed on to it, so that two controllers which take each other for the leader stop
 * there.
 */
class DrainApi(
    private val context: CoreContext,
    private val store: KeyValueStore,
    /** The drains of the session that this controller leads, or null. */
    private val desk: () -> DrainService?,
    /** Another controller that is known to lead. */
    private val leader: () -> String?,
) {
    /** A call on the operators' listener. */
    fun call(call: Input.Request) {
        val path = call.path.substringBefore('?')
        if (path != PATH && !path.startsWith("$PATH/"))
            return answer(call.id, OperatorResponses.noSuchPath())
        val request = ForwardedRequest(call.method, path, call.body)
        val own = desk()
        if (own != null) return own.handle(request) { answerOrReadStore(call.id, request, it) }
        val member =
            leader() ?: return answerFromStore(call.id, request, OperatorResponses.UNAVAILABLE)
        forward(call.id, member, request)
    }

    /** A request that another controller passes on. */
    fun forwarded(call: Input.Request) {
        val request =
            CborFormat.decode(ForwardedRequest.serializer(), call.body)
                ?: return context.answer(call.id, HttpStatus.BAD_REQUEST)
        val own = desk() ?: return context.answer(call.id, HttpStatus.CONFLICT)
        own.handle(request) { answer ->
            val wire = ForwardedResponse(answer.status, answer.body, answer.retryAfterS)
            val bytes = CborFormat.encode(ForwardedResponse.serializer(), wire)
            context.answerBytes(call.id, HttpStatus.OK, bytes)
        }
    }

    private fun forward(call: Long, member: String, request: ForwardedRequest) {
        val body = CborFormat.encode(ForwardedRequest.serializer(), request)
        context.send(Target.Peer(member), "POST", PEER_PATH, body, TIMEOUT) { outcome ->
            val response = outcome as? Outcome.Response
            val told =
                response
                    ?.takeIf { it.status == HttpStatus.OK }
                    ?.let { CborFormat.decode(ForwardedResponse.serializer(), it.body) }
            if (told == null) answerFromStore(call, request, OperatorResponses.UNAVAILABLE)
            else
                answerOrReadStore(
                    call,
                    request,
                    OperatorResponse(told.status, told.body, told.retryAfterS),
                )
        }
    }

    private fun answerOrReadStore(call: Long, request: ForwardedRequest, answer: OperatorResponse) {
        if (answer.status == HttpStatus.SERVICE_UNAVAILABLE) answerFromStore(call, request, answer)
        else answer(call, answer)
    }

    /** Questions are answered from what is stored; all else is [refused]. */
    private fun answerFromStore(call: Long, request: ForwardedRequest, refused: OperatorResponse) {
        if (request.method != "GET") return answer(call, refused)
        val askedAt = context.now
        store.scan(DrainRecord.PREFIX, DrainRecord.serializer(), RequestPriority.READ) { found ->
            if (found == null) return@scan answer(call, refused)
            val age = (context.now - askedAt).inSeconds
            val readable = found.items.mapNotNull { it.data }
            val drains = readable.map { DrainStatus(it, Source.STORE, ageS = age) }
            val unreadable =
                found.items
                    .filter { it.data == null }
                    .map { it.key.removePrefix(DrainRecord.PREFIX) }
            val id = request.path.removePrefix(PATH).trim('/')
            val one = drains.firstOrNull { it.record.request.id == id }
            answer(
                call,
                when {
                    id.isEmpty() -> OperatorResponses.list(DrainList(drains, unreadable))
                    one != null -> OperatorResponses.status(HttpStatus.OK, one)
                    else -> OperatorResponses.unknown(id)
                },
            )
        }
    }

    private fun answer(call: Long, answer: OperatorResponse) =
        context.answer(call, answer.status, answer.body, answer.retryAfterS)

    companion object {
        /** Drains on the operators' listener; below it each has its id. */
        const val PATH = "/drains"

        /** Below [PATH]: a dry run. */
        const val CHECK = "check"

        /** Below a drain: holds it up until it is resumed. */
        const val PAUSE = "pause"

        /** Below a drain: lets a paused one go on. */
        const val RESUME = "resume"

        /** Below a drain: ends it; its machines take tasks again. */
        const val CANCEL = "cancel"

        /** What controllers pass on to each other. */
        const val PEER_PATH = "/operate"
        private val TIMEOUT = 3.seconds
    }
}
