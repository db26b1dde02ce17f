package wardmux.core

/** Which of the controller's listening sockets a request came in on. */
enum class ListenerKind {
    /** Users and workers. */
    API,

    /** The other controllers. */
    PEER,

    /** Operators; not open unless the operators' settings name its address. */
    OPERATOR,
}

/** An event that the core handles, one at a time. */
sealed interface Input {
    /** Time has passed; sent several times a second. */
    data object Tick : Input

    /**
     * A request from a user, a worker, an operator or another controller; answered with
     * [Effect.Respond].
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
    /** The other side answered, with any HTTP status. */
    class Response(val status: Int, val body: ByteArray) : Outcome {
        /** The body as text. */
        val text: String
            get() = body.decodeToString()
    }

    /** The request never left this controller: no connection was established. */
    data object NotSent : Outcome

    /** No response in time: the request may have been carried out, or may still be. */
    data object NoResponse : Outcome
}
