package wardmux.cli

/** Exit codes of the drain commands. */
object DrainExit {
    /** The request succeeded. */
    const val OK = 0

    /** The request is invalid; one line of standard error names the field. */
    const val BAD_REQUEST = 2

    /** No controller gave a final answer within the timeout. */
    const val NO_ANSWER = 3

    /** There is no such drain. */
    const val UNKNOWN_DRAIN = 4

    /** The state of the drain does not allow the request. */
    const val CONFLICT = 5
}
