package wardmux.core

import wardmux.model.Micros

/** The destination of a request that this controller sends. */
sealed interface Target {
    /** The key-value store, which is replicated by consensus. */
    data object KeyValueStore : Target

    /** The cloud API through which machines are rented. */
    data object Cloud : Target

    /** Another controller, identified by its member name. */
    data class Peer(val member: String) : Target

    /** The worker of a machine, identified by its address. */
    data class Worker(val address: String) : Target
}

/** An action that the core requests and the code around it performs, such as network I/O. */
sealed interface Effect {
    /**
     * The response to the [Input.Request] with the same [id]. [retryAfterS] is the number of
     * seconds after which the client should retry, or null for none.
     */
    class Respond(
        val id: Long,
        val status: Int,
        val body: ByteArray,
        val retryAfterS: Int? = null,
    ) : Effect

    /** A request to [target]. Its outcome is returned as an [Input.Response] with the same [id]. */
    class SendRequest(
        val id: Long,
        val target: Target,
        val method: String,
        val path: String,
        val body: ByteArray,
        val timeout: Micros,
    ) : Effect

    /**
     * A computation that takes too long to run on the core's thread. Its result is returned as an
     * [Input.Computed] with the same [id].
     */
    class Compute(val id: Long, val task: BackgroundTask<*>) : Effect
}

/**
 * A computation that runs on a different thread than the core. It must not access the core's state,
 * and it has to limit its own run time.
 */
interface BackgroundTask<out T : Any> {
    /** Computes the result. An exception means that the task failed. */
    fun run(): T
}
