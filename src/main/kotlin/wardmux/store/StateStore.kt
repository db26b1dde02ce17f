package wardmux.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import wardmux.Desk
import wardmux.Micros
import wardmux.Outcome
import wardmux.Target
import wardmux.app.StateFacts
import wardmux.logger
import wardmux.millis
import wardmux.secs

/** Every other interface of the service is lenient in what it takes, as PROTOCOL asks. */
val lenientJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

@Serializable
data class Item(
    @SerialName("k") val key: String,
    val data: JsonElement,
    val stamp: Long,
    val permit: Long? = null,
)

@Serializable private class AbsentWire(val epoch: Long = 0)

@Serializable
private class PageWire(val items: List<Item>, val truncated: Boolean = false, val epoch: Long = 0)

@Serializable data class Condition(@SerialName("k") val key: String, val stamp: Long)

/** One change of a transaction: a put (with [data]) or a removal. */
@Serializable
data class Change(
    val put: String? = null,
    val data: JsonElement? = null,
    val permit: Long? = null,
    val remove: String? = null,
)

@Serializable
private class MultiWire(@SerialName("if") val conditions: List<Condition>, val then: List<Change>)

@Serializable private class CommittedWire(val epoch: Long)

@Serializable private class ConflictWire(val failed: List<String> = emptyList())

@Serializable private class LifeWire(@SerialName("life_ms") val lifeMs: Long)

@Serializable private class PermitWire(val permit: Long)

@Serializable
data class Event(
    val put: String? = null,
    val data: JsonElement? = null,
    val remove: String? = null,
    val stamp: Long = 0,
)

@Serializable class Changes(val epoch: Long, val events: List<Event> = emptyList())

/** What became of a request to the state service. */
sealed interface Result<out T> {
    data class Ok<T>(val value: T) : Result<T>

    /** The key or lease is not there; [epoch] is the revision at which it was not. */
    data class Absent(val epoch: Long) : Result<Nothing>

    data class Conflict(val failed: List<String>) : Result<Nothing>

    /** Surely not executed: refused by the service, or given up before it was sent. */
    data object Refused : Result<Nothing>

    /** May have been executed, or may still be. */
    data object Unsure : Result<Nothing>

    /** The service can't take the request as it is, or no longer knows what it refers to. */
    data object Invalid : Result<Nothing>
}

/** The order in which requests are sent when there is not room for all. */
enum class Priority {
    LEASE,
    USER_WRITE,
    LEADER,
    READ,
    WATCH,
}

/**
 * The state service as this controller may use it: its share of the request and write limits, the
 * lease before all else, and never more than the service's own limits on one transaction.
 */
class StateStore(private val desk: Desk, private val facts: StateFacts, private val nodes: Int) {
    private class Request(
        val writes: Int,
        val deadline: Micros,
        val send: () -> Unit,
        val refuse: () -> Unit,
    )

    private val log = logger<StateStore>()
    private val queues = List(Priority.entries.size) { ArrayDeque<Request>() }
    private var requestTokens = 0.0
    private var writeTokens = 0.0
    private var refilledAt: Micros? = null
    private var share = FOLLOWER_WEIGHT / (nodes + LEADER_WEIGHT - 1.0)

    /** The most changes that one transaction may hold. */
    val maxChanges: Int
        get() = facts.txnOps

    val maxConditions: Int
        get() = facts.txnOps * 4

    val maxValueBytes: Int
        get() = (facts.valueKb * 1024).toInt()

    /** The leader writes for all, so it gets the larger part. */
    fun lead(leading: Boolean) {
        val weight = if (leading) LEADER_WEIGHT else FOLLOWER_WEIGHT
        share = weight / (nodes + LEADER_WEIGHT - 1.0)
    }

    fun get(key: String, priority: Priority = Priority.READ, then: (Result<Item>) -> Unit) {
        submit(priority, 0, "GET", "/keys/$key", "", READ_TIMEOUT, then) { status, text ->
            when (status) {
                200 -> Result.Ok(lenientJson.decodeFromString(Item.serializer(), text))
                404 ->
                    Result.Absent(lenientJson.decodeFromString(AbsentWire.serializer(), text).epoch)
                else -> failure(status)
            }
        }
    }

    /** All keys under [prefix] and the revision of the first page, or null if they can't be had. */
    fun scan(prefix: String, then: (Scan?) -> Unit) = scanPage(prefix, null, ArrayList(), 0, then)

    class Scan(val items: List<Item>, val epoch: Long)

    private fun scanPage(
        prefix: String,
        from: String?,
        found: MutableList<Item>,
        firstEpoch: Long,
        then: (Scan?) -> Unit,
    ) {
        val path = "/keys?under=$prefix&limit=1000" + if (from == null) "" else "&from=$from"
        val answer: (Result<PageWire>) -> Unit = { result ->
            if (result is Result.Ok) {
                val page = result.value
                val epoch = if (from == null) page.epoch else firstEpoch
                found.addAll(page.items)
                if (page.truncated && page.items.isNotEmpty()) {
                    scanPage(prefix, page.items.last().key, found, epoch, then)
                } else {
                    then(Scan(found, epoch))
                }
            } else {
                then(null)
            }
        }
        submit(Priority.LEADER, 0, "GET", path, "", READ_TIMEOUT, answer) { status, text ->
            if (status == 200) Result.Ok(lenientJson.decodeFromString(PageWire.serializer(), text))
            else failure(status)
        }
    }

    /** Gives the revision of the changes. */
    fun multi(
        conditions: List<Condition>,
        changes: List<Change>,
        priority: Priority,
        then: (Result<Long>) -> Unit,
    ) {
        val body =
            lenientJson.encodeToString(MultiWire.serializer(), MultiWire(conditions, changes))
        submit(priority, changes.size, "POST", "/multi", body, WRITE_TIMEOUT, then) { status, text
            ->
            when (status) {
                200 ->
                    Result.Ok(lenientJson.decodeFromString(CommittedWire.serializer(), text).epoch)
                409 ->
                    Result.Conflict(
                        lenientJson.decodeFromString(ConflictWire.serializer(), text).failed
                    )
                else -> failure(status)
            }
        }
    }

    fun grant(life: Micros, then: (Result<Long>) -> Unit) {
        val body = lenientJson.encodeToString(LifeWire.serializer(), LifeWire(life.value / 1_000))
        submit(Priority.LEASE, 0, "POST", "/leases", body, LEASE_TIMEOUT, then) { status, text ->
            if (status == 200)
                Result.Ok(lenientJson.decodeFromString(PermitWire.serializer(), text).permit)
            else failure(status)
        }
    }

    fun renew(lease: Long, then: (Result<Unit>) -> Unit) {
        submit(Priority.LEASE, 0, "POST", "/leases/$lease/renew", "", LEASE_TIMEOUT, then) { s, _ ->
            when (s) {
                200 -> Result.Ok(Unit)
                404 -> Result.Absent(0)
                else -> failure(s)
            }
        }
    }

    fun end(lease: Long, then: (Result<Unit>) -> Unit) {
        submit(Priority.LEASE, 0, "DELETE", "/leases/$lease", "", LEASE_TIMEOUT, then) { s, _ ->
            if (s in 200..299 || s == 404) Result.Ok(Unit) else failure(s)
        }
    }

    fun watch(prefix: String, from: Long, block: Micros, then: (Result<Changes>) -> Unit) {
        val path = "/watch?under=$prefix&from=$from&block_ms=${block.value / 1_000}"
        val timeout = block + WATCH_SLACK
        submit(Priority.WATCH, 0, "GET", path, "", timeout, then) { status, text ->
            when (status) {
                200 -> Result.Ok(lenientJson.decodeFromString(Changes.serializer(), text))
                410 -> Result.Invalid
                else -> failure(status)
            }
        }
    }

    private fun failure(status: Int): Result<Nothing> =
        when (status) {
            429,
            503 -> Result.Refused
            400 -> Result.Invalid
            else -> Result.Unsure
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
        val request =
            Request(
                writes,
                desk.now + QUEUE_TIME,
                send = {
                    desk.send(Target.State, method, path, body.encodeToByteArray(), timeout) {
                        then(interpret(it, read))
                    }
                },
                refuse = { then(Result.Refused) },
            )
        queues[priority.ordinal].addLast(request)
        pump()
    }

    private fun <T> interpret(outcome: Outcome, read: (Int, String) -> Result<T>): Result<T> =
        when (outcome) {
            is Outcome.Unsent -> Result.Refused
            is Outcome.Unknown -> Result.Unsure
            is Outcome.Response ->
                try {
                    read(outcome.status, outcome.text)
                } catch (e: SerializationException) {
                    log.error("state service answered {}: {}", outcome.status, e.message)
                    Result.Unsure
                }
        }

    /** Sends what the limits allow; gives up what has waited too long. */
    fun pump() {
        refill()
        for (queue in queues) {
            while (queue.isNotEmpty()) {
                val request = queue.first()
                if (desk.now > request.deadline) {
                    queue.removeFirst()
                    request.refuse()
                    continue
                }
                val lease = queue === queues[Priority.LEASE.ordinal]
                if (!lease && requestTokens < 1) return
                if (!lease && writeTokens < request.writes) break
                requestTokens -= 1
                writeTokens -= request.writes
                queue.removeFirst()
                request.send()
            }
        }
    }

    private fun refill() {
        val rate = facts.rps * share * MARGIN
        val writeRate = facts.writeRps * share * MARGIN
        val elapsed = refilledAt?.let { (desk.now - it).seconds } ?: 1.0
        refilledAt = desk.now
        requestTokens = (requestTokens + elapsed * rate).coerceAtMost(rate)
        // A whole transaction must fit, or it would wait for ever.
        val writeBurst = maxOf(writeRate, facts.txnOps.toDouble())
        writeTokens = (writeTokens + elapsed * writeRate).coerceAtMost(writeBurst)
    }

    private companion object {
        const val LEADER_WEIGHT = 3.0
        const val FOLLOWER_WEIGHT = 1.0
        const val MARGIN = 0.95
        val QUEUE_TIME = 1_200.millis
        val READ_TIMEOUT = 1_500.millis
        val WRITE_TIMEOUT = 2.secs
        val LEASE_TIMEOUT = 1.secs
        val WATCH_SLACK = 2.secs
    }
}
