package wardmux.http

/** The paths that users and workers call, as PROTOCOL names them. */
object ApiPaths {
    /** Stands for the id of a job in the paths below. */
    const val JOB_PARAMETER = "{job}"

    /** Whether this controller takes jobs. */
    const val READY = "/ready"

    /** Workers' heartbeats. */
    const val HEARTBEAT = "/hello"

    /** Takes a new job. */
    const val SUBMISSIONS = "/submissions"

    /** The status of a job. */
    const val JOB = "$SUBMISSIONS/$JOB_PARAMETER"

    /** Cancels a job. */
    const val CANCELLATION = "$JOB/abort"
}
