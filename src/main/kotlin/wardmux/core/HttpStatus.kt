package wardmux.core

/**
 * The HTTP status codes that the protocols between users, workers, controllers and services use.
 */
object HttpStatus {
    /** Carried out. */
    const val OK = 200

    /** Carried out, and something new came of it. */
    const val CREATED = 201

    /** The request is malformed. */
    const val BAD_REQUEST = 400

    /** There is no such path, job, key or lease. */
    const val NOT_FOUND = 404

    /** The path exists, but not with this method. */
    const val METHOD_NOT_ALLOWED = 405

    /** A condition of the request does not hold. */
    const val CONFLICT = 409

    /** The revision to go on from is no longer kept. */
    const val GONE = 410

    /** Another controller answers this worker. */
    const val MISDIRECTED_REQUEST = 421

    /** The request is well formed, but can never be carried out. */
    const val UNPROCESSABLE_CONTENT = 422

    /** Refused for a rate limit. */
    const val TOO_MANY_REQUESTS = 429

    /** Refused for now. */
    const val SERVICE_UNAVAILABLE = 503

    /** All statuses that mean success. */
    val SUCCESS = 200..299
}
