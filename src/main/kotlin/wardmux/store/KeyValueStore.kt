package wardmux.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.serialization.lenientJson

/**
 * The state service as this controller may use it: its share of the request and write limits, the
 * lease before all else, and never more than the service's own limits on one transaction.
 */
class KeyValueStore(private val context: CoreContext, limits: StoreLimits, nodes: Int) {
    /** Lower limits may hold from any moment on, so they are kept from the start. */
    private val deployment = limits.lowest

    private val log = logger<KeyValueStore>()
    private val limiter = RateLimiter(context, deployment, nodes)
    private val queue = RequestQueue(context, limiter)

    /** When the service last carried something out for this controller. */
    var lastAvailableAt = Micros.LONG_AGO
        private set

    /** Since when all that was asked went unanswered, or null: a quiet controller asks nothing. */
    var unavailableSince: Micros? = null
        private set

    /** The most changes that one transaction may hold. */
    val maxOperations: Int
        get() = deployment.txnOps

    /** The most conditions that one transaction may hold. */
    val maxConditions: Int
        get() = deployment.txnOps * CONDITIONS_PER_CHANGE

    /**
     * What the layout of stored pages is made for: it stays as the version before has it, which
     * reads and writes the same keys, whatever the limits to come.
     */
    val pageLayoutBytes: Int = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The largest value that may be written. */
    val maxValueBytes: Int
        get() = (deployment.valueKb * BYTES_PER_KB).toInt()

    /** The leader writes for all, so most changes are its; most requests are users' questions. */
    fun setLeading(leading: Boolean) {
        limiter.leading = leading
    }

    /** Changes that this controller could make now and still have half of its burst left. */
    val spareWrites: Int
        get() = limiter.spareWrites

    /** Reads one key. */
    fun get(
        key: String,
        priority: RequestPriority = RequestPriority.READ,
        then: (StoreResult<KeyValue>) -> Unit,
    ) {
        submit(priority, 0, "GET", "/keys/$key", "", READ_TIMEOUT, then) { status, text ->
            when (status) {
                HttpStatus.OK ->
                    StoreResult.Ok(lenientJson.decodeFromString(KeyValue.serializer(), text))
                HttpStatus.NOT_FOUND ->
                    StoreResult.NotFound(
                        lenientJson.decodeFromString(KeyNotFoundWire.serializer(), text).revision
                    )
                else -> failure(status)
            }
        }
    }

    /**
     * All keys under [prefix] and the revision of the first page, or null if they can't be had.
     * What is wanted of them is read straight from the answer: a new leader reads thousands at
     * once, on a fraction of a core.
     */
    fun <T : Any> scan(
        prefix: String,
        values: KSerializer<T>,
        priority: RequestPriority = RequestPriority.LEADER,
        then: (Scan<T>?) -> Unit,
    ) = scanPage(prefix, values, priority, null, ArrayList(), 0, then)

    /** All that was found under a prefix, and the revision of the first page. */
    class Scan<T : Any>(val items: List<ScannedKey<T>>, val revision: Long)

    private fun <T : Any> scanPage(
        prefix: String,
        values: KSerializer<T>,
        priority: RequestPriority,
        from: String?,
        found: MutableList<ScannedKey<T>>,
        firstRevision: Long,
        then: (Scan<T>?) -> Unit,
    ) {
        val path = "/keys?under=$prefix&limit=1000" + if (from == null) "" else "&from=$from"
        val answer: (StoreResult<KeyPageWire<T>>) -> Unit = { result ->
            if (result is StoreResult.Ok) {
                val page = result.value
                val revision = if (from == null) page.revision else firstRevision
                found.addAll(page.items)
                if (page.truncated && page.items.isNotEmpty()) {
                    val last = page.items.last().key
                    scanPage(prefix, values, priority, last, found, revision, then)
                } else {
                    then(Scan(found, revision))
                }
            } else {
                then(null)
            }
        }
        submit(priority, 0, "GET", path, "", READ_TIMEOUT, answer) { status, text ->
            if (status == HttpStatus.OK) StoreResult.Ok(page(text, values)) else failure(status)
        }
    }

    private fun <T : Any> page(text: String, values: KSerializer<T>): KeyPageWire<T> =
        try {
            lenientJson.decodeFromString(KeyPageWire.serializer(values), text)
        } catch (e: IllegalArgumentException) {
            log.error("a value can't be read: {}", e.message?.lineSequence()?.first())
            readable(text, values)
        }

    /** Value by value: one that can't be read must not keep the others from being read. */
    private fun <T : Any> readable(text: String, values: KSerializer<T>): KeyPageWire<T> {
        val page =
            lenientJson.decodeFromString(KeyPageWire.serializer(JsonElement.serializer()), text)
        val items =
            page.items.map { item ->
                val value =
                    try {
                        item.data?.let { lenientJson.decodeFromJsonElement(values, it) }
                    } catch (e: IllegalArgumentException) {
                        null
                    }
                ScannedKey(item.key, value, item.version)
            }
        return KeyPageWire(items, page.truncated, page.revision)
    }

    /** Gives the revision of the changes. */
    fun compareAndSwap(
        conditions: List<VersionCondition>,
        changes: List<WriteOperation>,
        priority: RequestPriority,
        then: (StoreResult<Long>) -> Unit,
    ) {
        val wire = TransactionWire(conditions, changes.ifEmpty { null })
        val body = lenientJson.encodeToString(TransactionWire.serializer(), wire)
        val timeout = if (changes.isEmpty()) READ_TIMEOUT else WRITE_TIMEOUT
        submit(priority, changes.size, "POST", "/multi", body, timeout, then) { status, text ->
            when (status) {
                HttpStatus.OK ->
                    StoreResult.Ok(
                        lenientJson.decodeFromString(CommittedWire.serializer(), text).revision
                    )
                HttpStatus.CONFLICT ->
                    StoreResult.Conflict(
                        lenientJson.decodeFromString(ConflictWire.serializer(), text).failed
                    )
                else -> failure(status)
            }
        }
    }

    /** Asks for a lease of the given length; gives its number. */
    fun grantLease(duration: Micros, then: (StoreResult<Long>) -> Unit) {
        val body =
            lenientJson.encodeToString(
                LeaseRequestWire.serializer(),
                LeaseRequestWire(duration.value / 1_000),
            )
        submit(RequestPriority.LEASE, 0, "POST", "/leases", body, LEASE_TIMEOUT, then) {
            status,
            text ->
            if (status == HttpStatus.OK)
                StoreResult.Ok(lenientJson.decodeFromString(LeaseWire.serializer(), text).permit)
            else failure(status)
        }
    }

    /** Extends a lease by its length. */
    fun renewLease(lease: Long, then: (StoreResult<Unit>) -> Unit) {
        submit(RequestPriority.LEASE, 0, "POST", "/leases/$lease/renew", "", LEASE_TIMEOUT, then) {
            s,
            _ ->
            when (s) {
                HttpStatus.OK -> StoreResult.Ok(Unit)
                HttpStatus.NOT_FOUND -> StoreResult.NotFound(0)
                else -> failure(s)
            }
        }
    }

    /** Ends a lease; keys bound to it are removed. */
    fun revokeLease(lease: Long, then: (StoreResult<Unit>) -> Unit) {
        submit(RequestPriority.LEASE, 0, "DELETE", "/leases/$lease", "", LEASE_TIMEOUT, then) { s, _
            ->
            if (s in HttpStatus.SUCCESS || s == HttpStatus.NOT_FOUND) StoreResult.Ok(Unit)
            else failure(s)
        }
    }

    /** Waits up to [block] for changes under [prefix] after the revision [from]. */
    fun watch(
        prefix: String,
        from: Long,
        block: Micros,
        priority: RequestPriority,
        then: (StoreResult<WatchResponse>) -> Unit,
    ) {
        val path = "/watch?under=$prefix&from=$from&block_ms=${block.value / 1_000}"
        val timeout = block + WATCH_SLACK
        submit(priority, 0, "GET", path, "", timeout, then) { status, text ->
            when (status) {
                HttpStatus.OK ->
                    StoreResult.Ok(lenientJson.decodeFromString(WatchResponse.serializer(), text))
                HttpStatus.GONE -> StoreResult.Invalid
                else -> failure(status)
            }
        }
    }

    private fun failure(status: Int): StoreResult<Nothing> =
        when (status) {
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.SERVICE_UNAVAILABLE -> StoreResult.NotExecuted
            HttpStatus.BAD_REQUEST -> StoreResult.Invalid
            else -> StoreResult.Indeterminate
        }

    private fun <T> submit(
        priority: RequestPriority,
        writes: Int,
        method: String,
        path: String,
        body: String,
        timeout: Micros,
        then: (StoreResult<T>) -> Unit,
        read: (Int, String) -> StoreResult<T>,
    ) {
        val bytes = body.encodeToByteArray()
        val deadline = context.now + QUEUE_TIME
        lateinit var request: QueuedRequest
        val send = {
            context.send(Target.KeyValueStore, method, path, bytes, timeout) { outcome ->
                if (isRateLimited(outcome) && context.now < deadline) {
                    // Others had used up the limits for now.
                    queue.retry(priority, request)
                } else {
                    recordAvailability(outcome)
                    then(interpret(outcome, read))
                }
            }
        }
        request = QueuedRequest(writes, deadline, send, refuse = { then(StoreResult.NotExecuted) })
        queue.add(priority, request)
    }

    private fun recordAvailability(outcome: Outcome) {
        if (outcome is Outcome.Response && outcome.status != HttpStatus.SERVICE_UNAVAILABLE) {
            lastAvailableAt = context.now
            unavailableSince = null
        } else if (unavailableSince == null) {
            unavailableSince = context.now
        }
    }

    private fun isRateLimited(outcome: Outcome) =
        outcome is Outcome.Response && outcome.status == HttpStatus.TOO_MANY_REQUESTS

    private fun <T> interpret(
        outcome: Outcome,
        read: (Int, String) -> StoreResult<T>,
    ): StoreResult<T> =
        when (outcome) {
            is Outcome.NotSent -> StoreResult.NotExecuted
            is Outcome.NoResponse -> StoreResult.Indeterminate
            is Outcome.Response ->
                try {
                    read(outcome.status, outcome.text)
                } catch (e: SerializationException) {
                    log.error("state service answered {}: {}", outcome.status, e.message)
                    StoreResult.Indeterminate
                }
        }

    /** Sends what the limits allow; refuses what has waited too long. */
    fun sendDue() = queue.sendDue()

    private companion object {
        const val CONDITIONS_PER_CHANGE = 4
        const val BYTES_PER_KB = 1024
        val QUEUE_TIME = 1_200.milliseconds
        val READ_TIMEOUT = 1_500.milliseconds
        val WRITE_TIMEOUT = 2.seconds
        val LEASE_TIMEOUT = 1.seconds
        val WATCH_SLACK = 2.seconds
    }
}
