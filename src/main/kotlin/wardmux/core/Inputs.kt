package wardmux.core

/** The listening socket of the controller on which a request arrived. */
enum class ListenerKind {
    /** The socket for users and workers. */
    API,

    /** The socket for the other controllers. */
    PEER,

    /** The socket for operators. It is open only if the operators' settings name its address. */
    OPERATOR,
}

/** An event for the core, which handles one event at a time. */
sealed interface Input {
    /** Notifies the core that time has passed. It is sent several times per second. */
    data object Tick : Input

    /**
     * A request from a user, a worker, an operator or another controller. The core answers it with
     * an [Effect.Respond] with the same [id].
     */
    class Request(
        val id: Long,
        val listener: ListenerKind,
        val method: String,
        val path: String,
        val body: ByteArray,
    ) : Input

    /** The outcome of the [Effect.SendRequest] with the same [id]. */
    class Response(val id: Long, val outcome: Outcome) : Input

    /** The result of the [Effect.Compute] with the same [id], or null if the task failed. */
    class Computed(val id: Long, val result: Any?) : Input
}

/** The outcome of a request that this controller sent. */
sealed interface Outcome {
    /** The receiver answered, with any HTTP status. */
    class Response(val status: Int, val body: ByteArray) : Outcome {
        /** The body as text. */
        val text: String
            get() = body.decodeToString()
    }

    /**
     * The request was not sent, because no connection was established or became free before the
     * timeout.
     */
    data object NotSent : Outcome

    /**
     * The request was sent, but the timeout passed or the connection was closed before a response
     * arrived. The request may have been carried out, or may still be carried out.
     */
    data object NoResponse : Outcome
}
