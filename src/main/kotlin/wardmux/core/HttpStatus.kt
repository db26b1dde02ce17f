package wardmux.core

/**
 * The HTTP status codes that the protocols between users, workers, controllers and services use.
 */
object HttpStatus {
    /** The request succeeded. */
    const val OK = 200

    /** The request succeeded and created something. */
    const val CREATED = 201

    /** The request is malformed. */
    const val BAD_REQUEST = 400

    /** There is no such path, job, key or lease. */
    const val NOT_FOUND = 404

    /** The path exists, but not with this method. */
    const val METHOD_NOT_ALLOWED = 405

    /** A condition of the request does not hold. */
    const val CONFLICT = 409

    /** The store no longer keeps the revision that a watch was to start from. */
    const val GONE = 410

    /** The worker is to send its heartbeats to another controller. */
    const val MISDIRECTED_REQUEST = 421

    /** The request is well formed, but can never be carried out. */
    const val UNPROCESSABLE_CONTENT = 422

    /** Rejected for a rate limit. */
    const val TOO_MANY_REQUESTS = 429

    /** Rejected for now; may be sent again. */
    const val SERVICE_UNAVAILABLE = 503

    /** All statuses that mean success. */
    val SUCCESS = 200..299
}
