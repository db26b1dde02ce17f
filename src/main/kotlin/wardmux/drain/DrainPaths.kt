package wardmux.drain

/** HTTP paths and path segments of the operators' interface for drains. */
object DrainPaths {
    /** The path of all drains. The path of one drain is this path, a slash and its id. */
    const val DRAINS = "/drains"

    /** The segment after [DRAINS] that requests a dry run. */
    const val CHECK = "check"

    /** The segment after the path of a drain that pauses it until an operator resumes it. */
    const val PAUSE = "pause"

    /** The segment after the path of a drain that resumes it. */
    const val RESUME = "resume"

    /**
     * The segment after the path of a drain that cancels it. Machines that it has not returned take
     * tasks again.
     */
    const val CANCEL = "cancel"

    /** The path on the peers' listener for requests that a controller forwards to the leader. */
    const val FORWARDED = "/operate"
}
