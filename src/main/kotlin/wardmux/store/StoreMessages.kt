package wardmux.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.model.Revision

/** A stored key with its value, as read by [KeyValueStore.get]. */
@Serializable
data class KeyValue(
    @SerialName("k") val key: String,
    @SerialName("data") val data: JsonElement,
    @SerialName("stamp") val version: KeyVersion,
    /** The lease that the key is bound to, or null. */
    @SerialName("permit") val lease: LeaseId? = null,
)

/** The answer for a key that does not exist. */
@Serializable
internal class KeyNotFoundWire(@SerialName("epoch") val revision: Revision = Revision.ZERO)

/** A key that was read by [KeyValueStore.scan]; [data] is null where it can't be decoded. */
@Serializable
class ScannedKey<T : Any>(
    @SerialName("k") val key: String,
    @SerialName("data") val data: T? = null,
    @SerialName("stamp") val version: KeyVersion,
)

/** All keys under a prefix, and the store's [revision] when the first page of them was read. */
class ScanResult<T : Any>(val items: List<ScannedKey<T>>, val revision: Revision)

/** Stands for a value that is not decoded, where only keys and versions are needed. */
@Serializable object IgnoredValue

/** One page of the keys under a prefix. */
@Serializable
internal class KeyPageWire<T : Any>(
    @SerialName("items") val items: List<ScannedKey<T>>,
    @SerialName("truncated") val truncated: Boolean = false,
    @SerialName("epoch") val revision: Revision = Revision.ZERO,
)

/**
 * A condition of a transaction: the key has this version, [KeyVersion.ABSENT] if it must not exist.
 */
@Serializable
data class VersionCondition(
    @SerialName("k") val key: String,
    @SerialName("stamp") val version: KeyVersion,
)

/**
 * One write of a transaction: a put (with [data], bound to [lease] if there is one) or a removal.
 */
@Serializable
data class WriteOperation(
    @SerialName("put") val put: String? = null,
    @SerialName("data") val data: JsonElement? = null,
    @SerialName("permit") val lease: LeaseId? = null,
    @SerialName("remove") val remove: String? = null,
)

/** A compare-and-swap transaction. */
@Serializable
internal class TransactionWire(
    @SerialName("if") val conditions: List<VersionCondition>,
    /** Null if the transaction only compares. */
    @SerialName("then") val operations: List<WriteOperation>?,
)

/** The answer to a transaction that was committed. */
@Serializable internal class CommittedWire(@SerialName("epoch") val revision: Revision)

/** The answer to a transaction whose conditions did not hold. */
@Serializable
internal class ConflictWire(@SerialName("failed") val failed: List<String> = emptyList())

/** Asks for a lease of [durationMs] milliseconds. */
@Serializable internal class LeaseRequestWire(@SerialName("life_ms") val durationMs: Long)

/** The answer that grants a lease. */
@Serializable internal class LeaseWire(@SerialName("permit") val lease: LeaseId)

/** A change that a watch observed: a put (with [data]) or a removal. */
@Serializable
data class WatchEvent(
    @SerialName("put") val put: String? = null,
    @SerialName("data") val data: JsonElement? = null,
    @SerialName("remove") val remove: String? = null,
    @SerialName("stamp") val version: KeyVersion = KeyVersion.ABSENT,
)

/** The changes that a watch observed up to [revision]; none if it timed out. */
@Serializable
class WatchResponse(
    @SerialName("epoch") val revision: Revision,
    @SerialName("events") val events: List<WatchEvent> = emptyList(),
)
