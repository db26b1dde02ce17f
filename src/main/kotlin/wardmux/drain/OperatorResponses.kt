package wardmux.drain

import kotlinx.serialization.KSerializer
import wardmux.core.HttpStatus

/** Creates the responses to operators, each with its HTTP status. */
object OperatorResponses {
    private const val RETRY_AFTER_S = 1

    /**
     * No leader can handle the request now, and it is not carried out. The operator may retry after
     * [RETRY_AFTER_S] seconds.
     */
    val UNAVAILABLE =
        error(
            HttpStatus.SERVICE_UNAVAILABLE,
            DrainError("no leader can handle the request now"),
            RETRY_AFTER_S,
        )

    /**
     * The request may have been carried out, or may still be: the leader did not answer it, or the
     * key-value store did not answer the leader. The status is that of [UNAVAILABLE], because
     * earlier versions of the command line repeat only such requests.
     */
    val OUTCOME_UNKNOWN =
        error(
            HttpStatus.SERVICE_UNAVAILABLE,
            DrainError(
                "it is not known whether the request was carried out",
                outcomeUnknown = true,
            ),
            RETRY_AFTER_S,
        )

    /** The status of one drain. */
    fun status(code: Int, status: DrainStatus) = of(code, DrainStatus.serializer(), status)

    /** All drains. */
    fun list(list: DrainList) = of(HttpStatus.OK, DrainList.serializer(), list)

    /** The result of a dry run. */
    fun check(check: DrainCheck) = of(HttpStatus.OK, DrainCheck.serializer(), check)

    /** The request is invalid; [problem] is one line that names the field. */
    fun malformed(problem: String) = error(HttpStatus.BAD_REQUEST, DrainError(problem))

    /** There is no drain with the id [id]. */
    fun unknown(id: String) = error(HttpStatus.NOT_FOUND, DrainError("drain $id does not exist"))

    /** The state of the drain does not allow the request. */
    fun conflict(reason: String, state: DrainState) =
        error(HttpStatus.CONFLICT, DrainError(reason, state))

    /** The path of the request does not exist. */
    fun noSuchPath() = error(HttpStatus.NOT_FOUND, DrainError("the path does not exist"))

    /** The path does not support the method of the request. */
    fun wrongMethod() =
        error(HttpStatus.METHOD_NOT_ALLOWED, DrainError("the method must be GET or POST"))

    private fun error(code: Int, error: DrainError, retryAfterS: Int? = null) =
        OperatorResponse(
            code,
            operatorJson.encodeToString(DrainError.serializer(), error),
            retryAfterS,
        )

    private fun <T> of(code: Int, serializer: KSerializer<T>, value: T) =
        OperatorResponse(code, operatorJson.encodeToString(serializer, value))
}
