package wardmux.store

import wardmux.model.Revision

/** The result of a request to the key-value store. */
sealed interface StoreResult<out T> {
    /** The request was executed. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /**
     * The key or lease does not exist. For a key, [revision] is the store's revision when the key
     * was looked up; for a lease it is [Revision.ZERO].
     */
    data class NotFound(val revision: Revision) : StoreResult<Nothing>

    /** The conditions of the transaction on the keys in [failed] did not hold. */
    data class Conflict(val failed: List<String>) : StoreResult<Nothing>

    /**
     * The request was certainly not executed: the store rejected it temporarily, it could not be
     * sent for lack of a connection, or it expired in the queue.
     */
    data object NotExecuted : StoreResult<Nothing>

    /** The request may have been executed, or may still be executed. */
    data object Indeterminate : StoreResult<Nothing>

    /**
     * The store rejected the request as invalid, for example as too large, and did not execute it.
     */
    data object InvalidRequest : StoreResult<Nothing>

    /** The store no longer keeps the revision from which the watch should start. */
    data object Compacted : StoreResult<Nothing>
}
