package wardmux.core

/**
 * The HTTP status codes that the protocols between users, workers, controllers and services use.
 */
object HttpStatus {
    /** The request succeeded. */
    const val OK = 200

    /** The request succeeded and created a resource. */
    const val CREATED = 201

    /** The request is malformed. */
    const val BAD_REQUEST = 400

    /** The path, job, key or lease does not exist. */
    const val NOT_FOUND = 404

    /** The path exists, but does not support this method. */
    const val METHOD_NOT_ALLOWED = 405

    /** A condition of the request does not hold. */
    const val CONFLICT = 409

    /** The store no longer keeps the revision from which the watch should start. */
    const val GONE = 410

    /** The worker should send its heartbeats to another controller. */
    const val MISDIRECTED_REQUEST = 421

    /** The request is well-formed, but it can never be carried out. */
    const val UNPROCESSABLE_CONTENT = 422

    /** The request was rejected because of a rate limit. */
    const val TOO_MANY_REQUESTS = 429

    /** The request was rejected temporarily and may be sent again. */
    const val SERVICE_UNAVAILABLE = 503

    /** The status codes that mean success. */
    val SUCCESS = 200..299
}
