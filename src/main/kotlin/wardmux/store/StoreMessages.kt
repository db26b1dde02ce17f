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

/** The response for a key that does not exist. */
@Serializable
internal class KeyNotFoundWire(@SerialName("epoch") val revision: Revision = Revision.ZERO)

/** A key read by [KeyValueStore.scan]; [data] is null if the value could not be decoded. */
@Serializable
class ScannedKey<T : Any>(
    @SerialName("k") val key: String,
    @SerialName("data") val data: T? = null,
    @SerialName("stamp") val version: KeyVersion,
)

/** All keys under a prefix, and the store's [revision] when the first page of them was read. */
class ScanResult<T : Any>(val items: List<ScannedKey<T>>, val revision: Revision)

/** Placeholder for values that are not decoded, for scans that need only keys and versions. */
@Serializable object IgnoredValue

/** One page of the keys under a prefix. */
@Serializable
internal class KeyPageWire<T : Any>(
    @SerialName("items") val items: List<ScannedKey<T>>,
    @SerialName("truncated") val truncated: Boolean = false,
    @SerialName("epoch") val revision: Revision = Revision.ZERO,
)

/**
 * A condition of a transaction: the key has this version, or does not exist if the version is
 * [KeyVersion.ABSENT].
 */
@Serializable
data class VersionCondition(
    @SerialName("k") val key: String,
    @SerialName("stamp") val version: KeyVersion,
)

/**
 * One write of a transaction: either a put of [data] under the key [put], bound to [lease] unless
 * it is null, or a removal of the key [remove].
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
    /** The writes; null if the transaction only checks its conditions. */
    @SerialName("then") val operations: List<WriteOperation>?,
)

/** The response to a transaction that was committed. */
@Serializable internal class CommittedWire(@SerialName("epoch") val revision: Revision)

/** The response to a transaction of which the conditions on the keys in [failed] did not hold. */
@Serializable
internal class ConflictWire(@SerialName("failed") val failed: List<String> = emptyList())

/** Requests a lease of [durationMs] milliseconds. */
@Serializable internal class LeaseRequestWire(@SerialName("life_ms") val durationMs: Long)

/** The response that grants a lease. */
@Serializable internal class LeaseWire(@SerialName("permit") val lease: LeaseId)

/**
 * A change observed by a watch: either a put of [data] under the key [put], or a removal of the key
 * [remove].
 */
@Serializable
data class WatchEvent(
    @SerialName("put") val put: String? = null,
    @SerialName("data") val data: JsonElement? = null,
    @SerialName("remove") val remove: String? = null,
    @SerialName("stamp") val version: KeyVersion = KeyVersion.ABSENT,
)

/** The changes that a watch observed up to [revision]; empty if the watch timed out. */
@Serializable
class WatchResponse(
    @SerialName("epoch") val revision: Revision,
    @SerialName("events") val events: List<WatchEvent> = emptyList(),
)
