package wardmux.core

import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.Micros

/**
 * The context shared by the components of one controller: the time of the input being handled, and
 * the effects that its handling has produced so far. It uses no socket, clock or thread, so that a
 * simulation can run the components.
 */
class CoreContext(private val effects: MutableList<Effect> = ArrayList()) {
    /** Monotonic time of the input being handled. */
    var now = Micros.ZERO
        private set

    /** Time of day of the input being handled. The clocks of controllers may differ slightly. */
    var wallTime = Micros.ZERO
        private set

    private var lastId = 0L
    private val pendingRequests = Long2ObjectHashMap<(Outcome) -> Unit>()
    private val pendingComputations = Long2ObjectHashMap<(Any?) -> Unit>()

    /** Sets the monotonic time and the time of day of the input that is handled next. */
    fun setTime(now: Micros, wallTime: Micros) {
        this.now = now
        this.wallTime = wallTime
    }

    /** Sends a request to [target] and calls [onOutcome] exactly once with its outcome. */
    fun send(
        target: Target,
        method: String,
        path: String,
        body: ByteArray,
        timeout: Micros,
        onOutcome: (Outcome) -> Unit,
    ) {
        val id = ++lastId
        pendingRequests[id] = onOutcome
        effects.add(Effect.SendRequest(id, target, method, path, body, timeout))
    }

    /**
     * Passes the outcome of a request to the callback given to [send]. A second response to the
     * same request is ignored.
     */
    fun complete(response: Input.Response) {
        pendingRequests.remove(response.id)?.invoke(response.outcome)
    }

    /**
     * Runs [task] in the background and calls [onResult] with its result, or with null if the task
     * failed.
     */
    fun <T : Any> compute(task: BackgroundTask<T>, onResult: (T?) -> Unit) {
        val id = ++lastId
        // Only the result of this task, which has type T, is passed to the callback with this id.
        @Suppress("UNCHECKED_CAST")
        pendingComputations[id] = onResult as (Any?) -> Unit
        effects.add(Effect.Compute(id, task))
    }

    /** Passes the result of a computation to the callback given to [compute]. */
    fun complete(computed: Input.Computed) {
        pendingComputations.remove(computed.id)?.invoke(computed.result)
    }

    /**
     * Answers the request [id] with a text body. [retryAfterS] is the number of seconds after which
     * the client should retry, or null for none.
     */
    fun answer(id: Long, status: Int, body: String = "", retryAfterS: Int? = null) {
        effects.add(Effect.Respond(id, status, body.encodeToByteArray(), retryAfterS))
    }

    /** Answers the request [id] with a body that is already encoded. */
    fun answerBytes(id: Long, status: Int, body: ByteArray) {
        effects.add(Effect.Respond(id, status, body))
    }

    /** Removes and returns the effects produced since the last call, in the order of production. */
    fun takeEffects(): List<Effect> {
        if (effects.isEmpty()) return emptyList()
        val taken = ArrayList(effects)
        effects.clear()
        return taken
    }
}
