package wardmux.core

import org.agrona.collections.Long2ObjectHashMap
import wardmux.drain.DrainPlan
import wardmux.drain.DrainProblem
import wardmux.model.Micros

/** Who a request goes to. */
sealed interface Target {
    /** The consensus-backed key-value store. */
    data object KeyValueStore : Target

    /** The service that rents out machines. */
    data object Cloud : Target

    /** Another controller, by its member name. */
    data class Peer(val member: String) : Target

    /** A machine's worker, by its address. */
    data class Worker(val address: String) : Target
}

/** The listening side a call came in on. */
enum class Port {
    API,
    PEER,

    /** The operators' listener, which is off unless its address is set. */
    OPERATOR,
}

/** What happens to the core. */
sealed interface Input {
    /** Time has passed; sent several times a second. */
    data object Tick : Input

    /** A request from a user, a worker or another controller; answered with [Effect.Respond]. */
    class Request(
        val id: Long,
        val port: Port,
        val method: String,
        val path: String,
        val body: ByteArray,
    ) : Input

    /** The outcome of the [Effect.SendRequest] with the same [id]. */
    class Response(val id: Long, val outcome: Outcome) : Input

    /** The plan for the [Effect.Solve] with the same [id], or null if none was found in time. */
    class Solved(val id: Long, val plan: DrainPlan?) : Input
}

/** What became of a request. */
sealed interface Outcome {
    /** The other side answered, with whatever status. */
    class Response(val status: Int, val body: ByteArray) : Outcome {
        val text: String
            get() = body.decodeToString()
    }

    /** It never left this controller: no connection came about. */
    data object NotSent : Outcome

    /** No response: it may have happened, or may still happen. */
    data object NoResponse : Outcome
}

/** What the core wants done. */
sealed interface Effect {
    /** The answer to the [Input.Request] with the same [id]. */
    class Respond(
        val id: Long,
        val status: Int,
        val body: ByteArray,
        val retryAfterS: Int? = null,
    ) : Effect

    /**
     * A request to another service; its outcome comes back as an [Input.Response] with this [id].
     */
    class SendRequest(
        val id: Long,
        val target: Target,
        val method: String,
        val path: String,
        val body: ByteArray,
        val timeout: Micros,
    ) : Effect

    /** A plan to be worked out beside the core; it comes back as an [Input.Solved]. */
    class Solve(val id: Long, val problem: DrainProblem, val limit: Micros) : Effect
}

/**
 * What the slices of one core share: the time of the input being handled and the effects it gives.
 * Knows no socket, clock or thread.
 */
class CoreContext(private val effects: MutableList<Effect> = ArrayList()) {
    /** Steady time. */
    var now = Micros.ZERO
        private set

    /** Time of day, good to the bound that the settings give. */
    var wall = Micros.ZERO
        private set

    private var lastRequest = 0L
    private val waiting = Long2ObjectHashMap<(Outcome) -> Unit>()
    private val solving = Long2ObjectHashMap<(DrainPlan?) -> Unit>()

    /** Sets the time of the input that is handled next. */
    fun at(now: Micros, wall: Micros) {
        this.now = now
        this.wall = wall
    }

    /** Sends a request; [then] gets its outcome, exactly once. */
    fun send(
        target: Target,
        method: String,
        path: String,
        body: ByteArray,
        timeout: Micros,
        then: (Outcome) -> Unit,
    ) {
        val id = ++lastRequest
        waiting[id] = then
        effects.add(Effect.SendRequest(id, target, method, path, body, timeout))
    }

    /** Hands the outcome of a request to whoever sent it; a second reply to it is ignored. */
    fun settle(reply: Input.Response) {
        waiting.remove(reply.id)?.invoke(reply.outcome)
    }

    /** Has a plan worked out within [limit]; [then] gets it, or null if there is none. */
    fun solve(problem: DrainProblem, limit: Micros, then: (DrainPlan?) -> Unit) {
        val id = ++lastRequest
        solving[id] = then
        effects.add(Effect.Solve(id, problem, limit))
    }

    /** Hands a plan to whoever asked for it. */
    fun settle(solved: Input.Solved) {
        solving.remove(solved.id)?.invoke(solved.plan)
    }

    /** Answers the call [id] with text. */
    fun answer(id: Long, status: Int, body: String = "", retryAfterS: Int? = null) {
        effects.add(Effect.Respond(id, status, body.encodeToByteArray(), retryAfterS))
    }

    /** Answers the call [id] with bytes that are already encoded. */
    fun answerBytes(id: Long, status: Int, body: ByteArray) {
        effects.add(Effect.Respond(id, status, body))
    }

    /** The effects since the last time, in their order; each is returned once. */
    fun take(): List<Effect> {
        if (effects.isEmpty()) return emptyList()
        val taken = ArrayList(effects)
        effects.clear()
        return taken
    }
}
