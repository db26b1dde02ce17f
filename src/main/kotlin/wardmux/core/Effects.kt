package wardmux.core

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

/** An action that the core asks its surroundings to perform. */
sealed interface Effect {
    /** The answer to the [Input.Request] with the same [id]; [retryAfterS] in seconds. */
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

    /**
     * A computation that takes too long for the core's thread; its result comes back as an
     * [Input.Computed] with this [id].
     */
    class Compute(val id: Long, val task: BackgroundTask<*>) : Effect
}

/**
 * A computation that runs on another thread than the core: it must not touch the core's state, and
 * bounds its own run time.
 */
interface BackgroundTask<out T : Any> {
    /** Computes the result; an exception counts as failure. */
    fun run(): T
}
