package wardmux.core

import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.Micros

/**
 * What the parts of one controller share: the time of the input being handled, and the effects that
 * its handling has so far. It uses no socket, clock or thread, so that a simulation can run it.
 */
class CoreContext(private val effects: MutableList<Effect> = ArrayList()) {
    /** Monotonic time of the input being handled. */
    var now = Micros.ZERO
        private set

    /** Time of day of the input being handled; controllers' clocks may differ slightly. */
    var wallTime = Micros.ZERO
        private set

    private var lastId = 0L
    private val pendingRequests = Long2ObjectHashMap<(Outcome) -> Unit>()
    private val pendingComputations = Long2ObjectHashMap<(Any?) -> Unit>()

    /** Sets the time of the input that is handled next. */
    fun setTime(now: Micros, wallTime: Micros) {
        this.now = now
        this.wallTime = wallTime
    }

    /** Sends a request; [onOutcome] is called with its outcome, exactly once. */
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

    /** Passes the outcome of a request to its sender; a second response to it is ignored. */
    fun complete(response: Input.Response) {
        pendingRequests.remove(response.id)?.invoke(response.outcome)
    }

    /**
     * Runs [task] in the background; [onResult] is called with its result, or null if it failed.
     */
    fun <T : Any> compute(task: BackgroundTask<T>, onResult: (T?) -> Unit) {
        val id = ++lastId
        // The result with this id is that of the task, whose type the caller's function takes.
        @Suppress("UNCHECKED_CAST")
        pendingComputations[id] = onResult as (Any?) -> Unit
        effects.add(Effect.Compute(id, task))
    }

    /** Passes the result of a computation to the function that waits for it. */
    fun complete(computed: Input.Computed) {
        pendingComputations.remove(computed.id)?.invoke(computed.result)
    }

    /** Answers the request [id] with text; [retryAfterS] in seconds. */
    fun answer(id: Long, status: Int, body: String = "", retryAfterS: Int? = null) {
        effects.add(Effect.Respond(id, status, body.encodeToByteArray(), retryAfterS))
    }

    /** Answers the request [id] with bytes that are already encoded. */
    fun answerBytes(id: Long, status: Int, body: ByteArray) {
        effects.add(Effect.Respond(id, status, body))
    }

    /** Removes and returns the effects since the last call, in their order. */
    fun takeEffects(): List<Effect> {
        if (effects.isEmpty()) return emptyList()
        val taken = ArrayList(effects)
        effects.clear()
        return taken
    }
}
