package wardmux.store

import kotlinx.serialization.KSerializer
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.model.LeaseId
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.serialization.lenientJson

/**
 * Client of the consensus-backed key-value store. Keeps to this controller's share of the rate
 * limits, sends requests for leases before all others, and knows the limits on one transaction.
 * Every request ends in exactly one [StoreResult].
 */
class KeyValueStore(context: CoreContext, limits: StoreLimits, controllers: Int) {
    /** Lower limits may apply from any moment on, so they are kept from the start. */
    private val lowestLimits = limits.lowest
    private val client = StoreClient(context, lowestLimits, controllers)

    /** When the store last answered with anything but that it is unavailable. */
    val lastAvailableAt: Micros
        get() = client.lastAvailableAt

    /** Since when no request was answered, or null if the last one was or none was sent yet. */
    val unavailableSince: Micros?
        get() = client.unavailableSince

    /** The most writes that one transaction may hold. */
    val maxOperations: Int
        get() = lowestLimits.txnOps

    /** The most conditions that one transaction may hold. */
    val maxConditions: Int
        get() = lowestLimits.txnOps * MAX_CONDITIONS_PER_OPERATION

    /**
     * The value size, in bytes, that the layout of stored pages is made for. It does not follow
     * lowered limits: controllers of the version before read and write the same keys.
     */
    val pageLayoutBytes: Int = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The largest value that may be written, in bytes. */
    val maxValueBytes: Int
        get() = (lowestLimits.valueKb * BYTES_PER_KB).toInt()

    /** Writes that this controller could make now and still have half of its burst left. */
    val spareWrites: Int
        get() = client.limiter.spareWrites

    /** Whether this controller leads: the leader has a larger share of the rate limits. */
    fun setLeading(leading: Boolean) {
        client.limiter.isLeading = leading
    }

    /** Reads one key; [StoreResult.NotFound] if it does not exist. */
    fun get(
        key: String,
        priority: RequestPriority = RequestPriority.READ,
        onResult: (StoreResult<KeyValue>) -> Unit,
    ) {
        val request =
            StoreRequest(priority, "GET", "/keys/$key", READ_TIMEOUT) { status, text ->
                when (status) {
                    HttpStatus.OK ->
                        StoreResult.Ok(lenientJson.decodeFromString(KeyValue.serializer(), text))
                    HttpStatus.NOT_FOUND -> StoreResult.NotFound(revisionOfNotFound(text))
                    else -> StoreClient.failure(status)
                }
            }
        client.submit(request, onResult)
    }

    private fun revisionOfNotFound(text: String) =
        lenientJson.decodeFromString(KeyNotFoundWire.serializer(), text).revision

    /**
     * Reads all keys under [prefix]; [onResult] gets null if they can't be had. [valueSerializer]
     * decodes them straight from the response: a new leader reads thousands at once, on a fraction
     * of a core.
     */
    fun <T : Any> scan(
        prefix: String,
        valueSerializer: KSerializer<T>,
        priority: RequestPriority = RequestPriority.LEADER,
        onResult: (ScanResult<T>?) -> Unit,
    ) = PrefixScan(client, prefix, valueSerializer, priority, READ_TIMEOUT, onResult).start()

    /**
     * Applies all [operations] if all [conditions] hold, else none ([StoreResult.Conflict]). The
     * result is the revision of the writes, which is the new version of every key written.
     */
    fun compareAndSwap(
        conditions: List<VersionCondition>,
        operations: List<WriteOperation>,
        priority: RequestPriority,
        onResult: (StoreResult<Revision>) -> Unit,
    ) {
        val wire = TransactionWire(conditions, operations.ifEmpty { null })
        val body = lenientJson.encodeToString(TransactionWire.serializer(), wire)
        val timeout = if (operations.isEmpty()) READ_TIMEOUT else WRITE_TIMEOUT
        val request =
            StoreRequest(priority, "POST", "/multi", timeout, body, operations.size) { status, text
                ->
                when (status) {
                    HttpStatus.OK -> StoreResult.Ok(revisionOfCommit(text))
                    HttpStatus.CONFLICT -> StoreResult.Conflict(failedConditions(text))
                    else -> StoreClient.failure(status)
                }
            }
        client.submit(request, onResult)
    }

    private fun revisionOfCommit(text: String) =
        lenientJson.decodeFromString(CommittedWire.serializer(), text).revision

    private fun failedConditions(text: String) =
        lenientJson.decodeFromString(ConflictWire.serializer(), text).failed

    /** Asks for a lease of the given [duration]. */
    fun grantLease(duration: Micros, onResult: (StoreResult<LeaseId>) -> Unit) {
        val wire = LeaseRequestWire(duration.value / MICROS_PER_MS)
        val body = lenientJson.encodeToString(LeaseRequestWire.serializer(), wire)
        val request =
            leaseRequest("POST", "/leases", body) { status, text ->
                if (status == HttpStatus.OK) StoreResult.Ok(grantedLease(text))
                else StoreClient.failure(status)
            }
        client.submit(request, onResult)
    }

    private fun grantedLease(text: String) =
        lenientJson.decodeFromString(LeaseWire.serializer(), text).lease

    /** Extends a lease by its duration; [StoreResult.NotFound] if it has expired. */
    fun renewLease(lease: LeaseId, onResult: (StoreResult<Unit>) -> Unit) {
        val request =
            leaseRequest("POST", "/leases/${lease.value}/renew") { status, _ ->
                when (status) {
                    HttpStatus.OK -> StoreResult.Ok(Unit)
                    HttpStatus.NOT_FOUND -> StoreResult.NotFound(Revision.ZERO)
                    else -> StoreClient.failure(status)
                }
            }
        client.submit(request, onResult)
    }

    /** Ends a lease, also one that has expired; keys bound to it are removed. */
    fun revokeLease(lease: LeaseId, onResult: (StoreResult<Unit>) -> Unit) {
        val request =
            leaseRequest("DELETE", "/leases/${lease.value}") { status, _ ->
                if (status in HttpStatus.SUCCESS || status == HttpStatus.NOT_FOUND)
                    StoreResult.Ok(Unit)
                else StoreClient.failure(status)
            }
        client.submit(request, onResult)
    }

    private fun <T> leaseRequest(
        method: String,
        path: String,
        body: String = "",
        reader: ResponseReader<T>,
    ) = StoreRequest(RequestPriority.LEASE, method, path, LEASE_TIMEOUT, body, reader = reader)

    /**
     * Waits up to [maxWait] for changes under [prefix] after the revision [from];
     * [StoreResult.Compacted] if the store no longer keeps what changed since then.
     */
    fun watch(
        prefix: String,
        from: Revision,
        maxWait: Micros,
        priority: RequestPriority,
        onResult: (StoreResult<WatchResponse>) -> Unit,
    ) {
        val waitMs = maxWait.value / MICROS_PER_MS
        val path = "/watch?under=$prefix&from=${from.value}&block_ms=$waitMs"
        val request =
            StoreRequest(priority, "GET", path, maxWait + WATCH_RESPONSE_MARGIN) { status, text ->
                when (status) {
                    HttpStatus.OK -> StoreResult.Ok(decodeWatchResponse(text))
                    HttpStatus.GONE -> StoreResult.Compacted
                    else -> StoreClient.failure(status)
                }
            }
        client.submit(request, onResult)
    }

    private fun decodeWatchResponse(text: String) =
        lenientJson.decodeFromString(WatchResponse.serializer(), text)

    /** Sends what the limits allow, and ends requests that have waited too long. */
    fun sendDue() = client.sendDue()

    private companion object {
        const val MAX_CONDITIONS_PER_OPERATION = 4
        const val BYTES_PER_KB = 1_024
        const val MICROS_PER_MS = 1_000
        val READ_TIMEOUT = 1_500.milliseconds
        val WRITE_TIMEOUT = 2.seconds
        val LEASE_TIMEOUT = 1.seconds

        /** For the way there and back, on top of the time that a watch waits. */
        val WATCH_RESPONSE_MARGIN = 2.seconds
    }
}
