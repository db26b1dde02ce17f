package wardmux.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A stored key with its value, as read by [KeyValueStore.get]. */
@Serializable
data class KeyValue(
    @SerialName("k") val key: String,
    @SerialName("data") val data: JsonElement,
    @SerialName("stamp") val version: Long,
    @SerialName("permit") val permit: Long? = null,
)

/** The answer for a key that does not exist. */
@Serializable internal class KeyNotFoundWire(@SerialName("epoch") val revision: Long = 0)

/** One of many keys that were read together; without [data] it can't be read. */
@Serializable
class ScannedKey<T : Any>(
    @SerialName("k") val key: String,
    @SerialName("data") val data: T? = null,
    @SerialName("stamp") val version: Long,
)

/** Stands for a value that is not read, where only keys and stamps are wanted. */
@Serializable object IgnoredValue

/** One page of the keys under a prefix. */
@Serializable
internal class KeyPageWire<T : Any>(
    @SerialName("items") val items: List<ScannedKey<T>>,
    @SerialName("truncated") val truncated: Boolean = false,
    @SerialName("epoch") val revision: Long = 0,
)

/** A transaction is carried out only if the key still has this stamp. */
@Serializable
data class VersionCondition(
    @SerialName("k") val key: String,
    @SerialName("stamp") val version: Long,
)

/** One change of a transaction: a put (with [data]) or a removal. */
@Serializable
data class WriteOperation(
    @SerialName("put") val put: String? = null,
    @SerialName("data") val data: JsonElement? = null,
    @SerialName("permit") val permit: Long? = null,
    @SerialName("remove") val remove: String? = null,
)

/** A transaction. */
@Serializable
internal class TransactionWire(
    @SerialName("if") val conditions: List<VersionCondition>,
    /** Null: the transaction only compares. */
    @SerialName("then") val then: List<WriteOperation>?,
)

/** The answer to a transaction that was carried out. */
@Serializable internal class CommittedWire(@SerialName("epoch") val revision: Long)

/** The answer to a transaction whose conditions did not hold. */
@Serializable
internal class ConflictWire(@SerialName("failed") val failed: List<String> = emptyList())

/** Asks for a lease. */
@Serializable internal class LeaseRequestWire(@SerialName("life_ms") val lifeMs: Long)

/** The answer that grants a lease. */
@Serializable internal class LeaseWire(@SerialName("permit") val permit: Long)

/** One change that a watch has seen: a put (with [data]) or a removal. */
@Serializable
data class WatchEvent(
    @SerialName("put") val put: String? = null,
    @SerialName("data") val data: JsonElement? = null,
    @SerialName("remove") val remove: String? = null,
    @SerialName("stamp") val version: Long = 0,
)

/** What a watch has seen, up to the revision [revision]. */
@Serializable
class WatchResponse(
    @SerialName("epoch") val revision: Long,
    @SerialName("events") val events: List<WatchEvent> = emptyList(),
)

/** What became of a request to the state service. */
sealed interface StoreResult<out T> {
    /** Carried out. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /** The key or lease is not there; [revision] is the revision at which it was not. */
    data class NotFound(val revision: Long) : StoreResult<Nothing>

    /** A condition of the transaction did not hold: the keys that [failed]. */
    data class Conflict(val failed: List<String>) : StoreResult<Nothing>

    /** Surely not executed: refused by the service, or given up before it was sent. */
    data object NotExecuted : StoreResult<Nothing>

    /** May have been executed, or may still be. */
    data object Indeterminate : StoreResult<Nothing>

    /** The service can't take the request as it is, or no longer knows what it refers to. */
    data object Invalid : StoreResult<Nothing>
}
