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
 * Client of the consensus-backed key-value store. It respects this controller's share of the rate
 * limits, sends requests for leases before all others, and provides the limits on one transaction.
 * Every request ends with exactly one [StoreResult].
 */
class KeyValueStore(context: CoreContext, limits: StoreLimits, controllers: Int) {
    /**
     * The lowest of the current and the announced limits. Announced limits may take effect at any
     * time, so they are respected from the start.
     */
    private val lowestLimits = limits.lowest
    private val client = StoreClient(context, lowestLimits, controllers)

    /** When the store last sent a response with a status other than 503 (service unavailable). */
    val lastAvailableAt: Micros
        get() = client.lastAvailableAt

    /**
     * The time since which every request has got no response or one with status 503 (service
     * unavailable). Null if the last response had another status, or if no request was sent yet.
     */
    val unavailableSince: Micros?
        get() = client.unavailableSince

    /** The maximum number of writes in one transaction. */
    val maxOperations: Int
        get() = lowestLimits.txnOps

    /** The maximum number of conditions in one transaction. */
    val maxConditions: Int
        get() = lowestLimits.txnOps * MAX_CONDITIONS_PER_OPERATION

    /**
     * The value size, in bytes, on which the layout of new task pages is based. It does not follow
     * announced lower limits, because controllers of the previous version read and write the same
     * keys, and they expect each task on the page that the settings say.
     */
    val pageLayoutBytes: Int = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The maximum size of a written value, in bytes. */
    val maxValueBytes: Int
        get() = (lowestLimits.valueKb * BYTES_PER_KB).toInt()

    /** The number of writes this controller can make now and still keep half of its burst. */
    val spareWrites: Int
        get() = client.limiter.spareWrites

    /**
     * Sets whether this controller is the leader. The leader has a different share of the rate
     * limits than the followers.
     */
    fun setLeading(leading: Boolean) {
        client.limiter.isLeading = leading
    }

    /** Reads one key. The result is [StoreResult.NotFound] if the key does not exist. */
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
     * Reads all keys under [prefix]. [onResult] gets null if a request fails. [valueSerializer]
     * decodes the values directly from the response, because a new leader reads thousands of keys
     * at once and has only a fraction of a CPU core.
     */
    fun <T : Any> scan(
        prefix: String,
        valueSerializer: KSerializer<T>,
        priority: RequestPriority = RequestPriority.LEADER,
        onResult: (ScanResult<T>?) -> Unit,
    ) = PrefixScan(client, prefix, valueSerializer, priority, READ_TIMEOUT, onResult).start()

    /**
     * Applies all [operations] if all [conditions] hold; otherwise applies none, and the result is
     * [StoreResult.Conflict]. On success the result is the revision of the writes, which is the new
     * version of every key written.
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

    /** Requests a new lease of the given [duration]. */
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

    /** Renews a lease for its duration. The result is [StoreResult.NotFound] if it has expired. */
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

    /**
     * Revokes a lease, which removes the keys bound to it. Revoking a lease that has expired
     * succeeds too.
     */
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
     * Waits up to [maxWait] for changes under [prefix] after the revision [from]. The result is
     * [StoreResult.Compacted] if the store no longer keeps the changes since that revision.
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

    /** Sends the queued requests that the limits allow, and expires those past their deadline. */
    fun sendDue() = client.sendDue()

    private companion object {
        const val MAX_CONDITIONS_PER_OPERATION = 4
        const val BYTES_PER_KB = 1_024
        const val MICROS_PER_MS = 1_000
        val READ_TIMEOUT = 1_500.milliseconds
        val WRITE_TIMEOUT = 2.seconds
        val LEASE_TIMEOUT = 1.seconds

        /** The time for the network round trip of a watch, in addition to the time it waits. */
        val WATCH_RESPONSE_MARGIN = 2.seconds
    }
}
