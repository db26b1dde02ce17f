package wardmux.http

/** The paths that users and workers call. The protocol defines them, so they are fixed. */
object ApiPaths {
    /** The placeholder for a job id in the paths below. */
    const val JOB_PARAMETER = "{job}"

    /** Reports whether this controller accepts jobs. */
    const val READY = "/ready"

    /** Receives workers' heartbeats. */
    const val HEARTBEAT = "/hello"

    /** Accepts a new job. */
    const val SUBMISSIONS = "/submissions"

    /** Returns the status of a job. */
    const val JOB = "$SUBMISSIONS/$JOB_PARAMETER"

    /** Cancels a job. */
    const val CANCELLATION = "$JOB/abort"
}
