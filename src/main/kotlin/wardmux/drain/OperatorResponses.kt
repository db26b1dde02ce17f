package wardmux.drain

import kotlinx.serialization.KSerializer
import wardmux.core.HttpStatus

/** The responses to operators, by their HTTP status. */
object OperatorResponses {
    private const val RETRY_AFTER_S = 1

    /** No leader can decide now; the operator may retry after [RETRY_AFTER_S]. */
    val UNAVAILABLE =
        error(HttpStatus.SERVICE_UNAVAILABLE, DrainError("no leader can decide now"), RETRY_AFTER_S)

    /** The status of one drain. */
    fun status(code: Int, status: DrainStatus) = of(code, DrainStatus.serializer(), status)

    /** All drains. */
    fun list(list: DrainList) = of(HttpStatus.OK, DrainList.serializer(), list)

    /** What a drain would do. */
    fun check(check: DrainCheck) = of(HttpStatus.OK, DrainCheck.serializer(), check)

    /** The request is invalid; [problem] names the field. */
    fun malformed(problem: String) = error(HttpStatus.BAD_REQUEST, DrainError(problem))

    /** There is no drain with this id. */
    fun unknown(id: String) = error(HttpStatus.NOT_FOUND, DrainError("no such drain: $id"))

    /** The drain's [state] does not allow the request. */
    fun conflict(reason: String, state: DrainState) =
        error(HttpStatus.CONFLICT, DrainError(reason, state))

    /** There is no such path. */
    fun noSuchPath() = error(HttpStatus.NOT_FOUND, DrainError("no such path"))

    /** The path does not take this method. */
    fun wrongMethod() = error(HttpStatus.METHOD_NOT_ALLOWED, DrainError("use GET or POST"))

    private fun error(code: Int, error: DrainError, retryAfterS: Int? = null) =
        OperatorResponse(
            code,
            operatorJson.encodeToString(DrainError.serializer(), error),
            retryAfterS,
        )

    private fun <T> of(code: Int, serializer: KSerializer<T>, value: T) =
        OperatorResponse(code, operatorJson.encodeToString(serializer, value))
}
