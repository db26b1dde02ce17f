package wardmux.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import wardmux.config.StateFacts
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.millis
import wardmux.model.secs
import wardmux.serialization.lenientJson

/**
 * The state service as this controller may use it: its share of the request and write limits, the
 * lease before all else, and never more than the service's own limits on one transaction.
 */
class StateStore(private val context: CoreContext, limits: StateFacts, nodes: Int) {
    /** Lower limits may hold from any moment on, so they are kept from the start. */
    private val facts = limits.lowest

    private val log = logger<StateStore>()
    private val limiter = RateLimiter(context, facts, nodes)
    private val queue = RequestQueue(context, limiter)

    /** When the service last carried something out for this controller. */
    var answeredAt = Micros.LONG_AGO
        private set

    /** Since when all that was asked went unanswered, or null: a quiet controller asks nothing. */
    var troubledSince: Micros? = null
        private set

    /** The most changes that one transaction may hold. */
    val maxChanges: Int
        get() = facts.txnOps

    /** The most conditions that one transaction may hold. */
    val maxConditions: Int
        get() = facts.txnOps * CONDITIONS_PER_CHANGE

    /**
     * What the layout of stored pages is made for: it stays as the version before has it, which
     * reads and writes the same keys, whatever the limits to come.
     */
    val layoutBytes: Int = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The largest value that may be written. */
    val maxValueBytes: Int
        get() = (facts.valueKb * BYTES_PER_KB).toInt()

    /** The leader writes for all, so most changes are its; most requests are users' questions. */
    fun lead(leading: Boolean) {
        limiter.leading = leading
    }

    /** Changes that this controller could make now and still have half of its burst left. */
    val writesToSpare: Int
        get() = limiter.writesToSpare

    /** Reads one key. */
    fun get(key: String, priority: Priority = Priority.READ, then: (Result<Item>) -> Unit) {
        submit(priority, 0, "GET", "/keys/$key", "", READ_TIMEOUT, then) { status, text ->
            when (status) {
                HttpStatus.OK -> Result.Ok(lenientJson.decodeFromString(Item.serializer(), text))
                HttpStatus.NOT_FOUND ->
                    Result.Absent(lenientJson.decodeFromString(AbsentWire.serializer(), text).epoch)
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
        priority: Priority = Priority.LEADER,
        then: (Scan<T>?) -> Unit,
    ) = scanPage(prefix, values, priority, null, ArrayList(), 0, then)

    /** All that was found under a prefix, and the revision of the first page. */
    class Scan<T : Any>(val items: List<Scanned<T>>, val epoch: Long)

    private fun <T : Any> scanPage(
        prefix: String,
        values: KSerializer<T>,
        priority: Priority,
        from: String?,
        found: MutableList<Scanned<T>>,
        firstEpoch: Long,
        then: (Scan<T>?) -> Unit,
    ) {
        val path = "/keys?under=$prefix&limit=1000" + if (from == null) "" else "&from=$from"
        val answer: (Result<PageWire<T>>) -> Unit = { result ->
            if (result is Result.Ok) {
                val page = result.value
                val epoch = if (from == null) page.epoch else firstEpoch
                found.addAll(page.items)
                if (page.truncated && page.items.isNotEmpty()) {
                    val last = page.items.last().key
                    scanPage(prefix, values, priority, last, found, epoch, then)
                } else {
                    then(Scan(found, epoch))
                }
            } else {
                then(null)
            }
        }
        submit(priority, 0, "GET", path, "", READ_TIMEOUT, answer) { status, text ->
            if (status == HttpStatus.OK) Result.Ok(page(text, values)) else failure(status)
        }
    }

    private fun <T : Any> page(text: String, values: KSerializer<T>): PageWire<T> =
        try {
            lenientJson.decodeFromString(PageWire.serializer(values), text)
        } catch (e: IllegalArgumentException) {
            log.error("a value can't be read: {}", e.message?.lineSequence()?.first())
            readable(text, values)
        }

    /** Value by value: one that can't be read must not keep the others from being read. */
    private fun <T : Any> readable(text: String, values: KSerializer<T>): PageWire<T> {
        val page = lenientJson.decodeFromString(PageWire.serializer(JsonElement.serializer()), text)
        val items =
            page.items.map { item ->
                val value =
                    try {
                        item.data?.let { lenientJson.decodeFromJsonElement(values, it) }
                    } catch (e: IllegalArgumentException) {
                        null
                    }
                Scanned(item.key, value, item.stamp)
            }
        return PageWire(items, page.truncated, page.epoch)
    }

    /** Gives the revision of the changes. */
    fun multi(
        conditions: List<Condition>,
        changes: List<Change>,
        priority: Priority,
        then: (Result<Long>) -> Unit,
    ) {
        val wire = MultiWire(conditions, changes.ifEmpty { null })
        val body = lenientJson.encodeToString(MultiWire.serializer(), wire)
        val timeout = if (changes.isEmpty()) READ_TIMEOUT else WRITE_TIMEOUT
        submit(priority, changes.size, "POST", "/multi", body, timeout, then) { status, text ->
            when (status) {
                HttpStatus.OK ->
                    Result.Ok(lenientJson.decodeFromString(CommittedWire.serializer(), text).epoch)
                HttpStatus.CONFLICT ->
                    Result.Conflict(
                        lenientJson.decodeFromString(ConflictWire.serializer(), text).failed
                    )
                else -> failure(status)
            }
        }
    }

    /** Asks for a lease of the given length; gives its number. */
    fun grant(life: Micros, then: (Result<Long>) -> Unit) {
        val body = lenientJson.encodeToString(LifeWire.serializer(), LifeWire(life.value / 1_000))
        submit(Priority.LEASE, 0, "POST", "/leases", body, LEASE_TIMEOUT, then) { status, text ->
            if (status == HttpStatus.OK)
                Result.Ok(lenientJson.decodeFromString(PermitWire.serializer(), text).permit)
            else failure(status)
        }
    }

    /** Extends a lease by its length. */
    fun renew(lease: Long, then: (Result<Unit>) -> Unit) {
        submit(Priority.LEASE, 0, "POST", "/leases/$lease/renew", "", LEASE_TIMEOUT, then) { s, _ ->
            when (s) {
                HttpStatus.OK -> Result.Ok(Unit)
                HttpStatus.NOT_FOUND -> Result.Absent(0)
                else -> failure(s)
            }
        }
    }

    /** Ends a lease; keys bound to it are removed. */
    fun end(lease: Long, then: (Result<Unit>) -> Unit) {
        submit(Priority.LEASE, 0, "DELETE", "/leases/$lease", "", LEASE_TIMEOUT, then) { s, _ ->
            if (s in HttpStatus.SUCCESS || s == HttpStatus.NOT_FOUND) Result.Ok(Unit)
            else failure(s)
        }
    }

    /** Waits up to [block] for changes under [prefix] after the revision [from]. */
    fun watch(
        prefix: String,
        from: Long,
        block: Micros,
        priority: Priority,
        then: (Result<Changes>) -> Unit,
    ) {
        val path = "/watch?under=$prefix&from=$from&block_ms=${block.value / 1_000}"
        val timeout = block + WATCH_SLACK
        submit(priority, 0, "GET", path, "", timeout, then) { status, text ->
            when (status) {
                HttpStatus.OK -> Result.Ok(lenientJson.decodeFromString(Changes.serializer(), text))
                HttpStatus.GONE -> Result.Invalid
                else -> failure(status)
            }
        }
    }

    private fun failure(status: Int): Result<Nothing> =
        when (status) {
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.SERVICE_UNAVAILABLE -> Result.Refused
            HttpStatus.BAD_REQUEST -> Result.Invalid
            else -> Result.Indeterminate
        }

    private fun <T> submit(
        priority: Priority,
        writes: Int,
        method: String,
        path: String,
        body: String,
        timeout: Micros,
        then: (Result<T>) -> Unit,
        read: (Int, String) -> Result<T>,
    ) {
        val bytes = body.encodeToByteArray()
        val deadline = context.now + QUEUE_TIME
        lateinit var request: QueuedRequest
        val send = {
            context.send(Target.State, method, path, bytes, timeout) { outcome ->
                if (isRateLimited(outcome) && context.now < deadline) {
                    // Others had used up the limits for now.
                    queue.retry(priority, request)
                } else {
                    recordAvailability(outcome)
                    then(interpret(outcome, read))
                }
            }
        }
        request = QueuedRequest(writes, deadline, send, refuse = { then(Result.Refused) })
        queue.add(priority, request)
    }

    private fun recordAvailability(outcome: Outcome) {
        if (outcome is Outcome.Response && outcome.status != HttpStatus.SERVICE_UNAVAILABLE) {
            answeredAt = context.now
            troubledSince = null
        } else if (troubledSince == null) {
            troubledSince = context.now
        }
    }

    private fun isRateLimited(outcome: Outcome) =
        outcome is Outcome.Response && outcome.status == HttpStatus.TOO_MANY_REQUESTS

    private fun <T> interpret(outcome: Outcome, read: (Int, String) -> Result<T>): Result<T> =
        when (outcome) {
            is Outcome.Unsent -> Result.Refused
            is Outcome.Unknown -> Result.Indeterminate
            is Outcome.Response ->
                try {
                    read(outcome.status, outcome.text)
                } catch (e: SerializationException) {
                    log.error("state service answered {}: {}", outcome.status, e.message)
                    Result.Indeterminate
                }
        }

    /** Sends what the limits allow; refuses what has waited too long. */
    fun sendDue() = queue.sendDue()

    private companion object {
        const val CONDITIONS_PER_CHANGE = 4
        const val BYTES_PER_KB = 1024
        val QUEUE_TIME = 1_200.millis
        val READ_TIMEOUT = 1_500.millis
        val WRITE_TIMEOUT = 2.secs
        val LEASE_TIMEOUT = 1.secs
        val WATCH_SLACK = 2.secs
    }
}
