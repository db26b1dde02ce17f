package wardmux.drain

/** Paths of the operators' interface. */
object DrainPaths {
    /** All drains; below it each has its id. */
    const val DRAINS = "/drains"

    /** Below [DRAINS]: a dry run. */
    const val CHECK = "check"

    /** Below a drain: pauses it until it is resumed. */
    const val PAUSE = "pause"

    /** Below a drain: resumes it. */
    const val RESUME = "resume"

    /** Below a drain: ends it; its machines take tasks again. */
    const val CANCEL = "cancel"

    /** On the peers' listener: requests that another controller forwards to the leader. */
    const val FORWARDED = "/operate"
}
