package wardmux.store

import wardmux.model.Revision

/** What became of a request to the key-value store. */
sealed interface StoreResult<out T> {
    /** Executed. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /**
     * The key or lease does not exist; [revision] is the store's revision when it was looked up.
     */
    data class NotFound(val revision: Revision) : StoreResult<Nothing>

    /** A condition of the transaction did not hold: the keys that [failed]. */
    data class Conflict(val failed: List<String>) : StoreResult<Nothing>

    /** Surely not executed: rejected by the store for now, or expired before it was sent. */
    data object NotExecuted : StoreResult<Nothing>

    /** May have been executed, or may still be. */
    data object Indeterminate : StoreResult<Nothing>

    /** Not executed: the store rejects the request as it is, for instance as too large. */
    data object InvalidRequest : StoreResult<Nothing>

    /** The store no longer keeps the revision that a watch was to start from. */
    data object Compacted : StoreResult<Nothing>
}
