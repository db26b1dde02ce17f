package wardmux.sim

import java.util.TreeMap
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.StoreLimits
import wardmux.model.Micros
import wardmux.model.milliseconds

/**
 * A transaction that got no response and was executed later, with the transactions that its sender
 * committed in the meantime.
 */
class DelayedTransaction(
    private val transaction: JsonObject,
    private val newerTransactions: List<JsonObject>,
    /** The keys that it puts and that existed when it was executed. */
    private val existingKeys: Set<String>,
    val status: Int,
) {
    /** Whether the store committed the transaction; its conditions can have failed. */
    val committed: Boolean
        get() = status == 200

    /** Whether the transaction overwrote an existing value of [key]. */
    fun replacedExisting(key: String) = committed && key in existingKeys

    /** Whether the transaction puts or removes a key under [prefix]. */
    fun changesKeyUnder(prefix: String) = changesKeyUnder(transaction, prefix)

    /**
     * Whether a newer transaction of the same sender that changed a key under [prefix] was
     * committed first.
     */
    fun overtakenByChangeUnder(prefix: String) =
        newerTransactions.any { changesKeyUnder(it, prefix) }

    private fun changesKeyUnder(candidate: JsonObject, prefix: String) =
        candidate["then"]?.jsonArray.orEmpty().any { change ->
            val key = change.jsonObject.let { it["put"] ?: it.getValue("remove") }
            key.jsonPrimitive.content.startsWith(prefix)
        }
}

/** A fake of the key-value store, written from the protocol. */
class FakeKeyValueStore(private val clock: SimulatedClock, private val limits: StoreLimits) {
    private class Entry(val data: JsonElement, val version: Long, val lease: Long?)

    private class Lease(val duration: Micros, var expiresAt: Micros)

    private class KeyChange(val revision: Long, val key: String, val data: JsonElement?)

    private class Watch(
        val member: String,
        val prefix: String,
        val from: Long,
        val answer: (Int, String) -> Unit,
    ) {
        var open = true
    }

    private val keys = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayList<KeyChange>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var lastLease = 0L

    /** Members whose requests get a 503 response; null stands for all members. */
    private val refusedMembers = HashSet<String?>()

    /**
     * The probability that a transaction gets no response and is executed 2 to 12 s later, after
     * newer ones.
     */
    var delayProbability = 0.0

    /**
     * Whether the open watches of a refused member get no response until the refusal ends, as the
     * protocol specifies.
     */
    var holdsRefusedWatches = false

    /**
     * Violations of the protocol by controllers. The entry for a transaction that is too large
     * names its sender and the exceeded limit.
     */
    val protocolViolations = ArrayList<String>()

    /** Called for every request, also for one that is refused. */
    var onRequest: ((path: String, body: String) -> Unit)? = null

    /**
     * The limits above which transactions are rejected; null until [lowerLimits] is called. A
     * transaction that exceeds the original limits is also recorded as a protocol violation.
     */
    private var loweredLimits: AnnouncedStoreLimits? = null
    private val recentWriteTimes = ArrayDeque<Micros>()

    /**
     * One description of each transaction that was rejected because it or a value in it was larger
     * than the lowered limits allow.
     */
    val rejectedForSize = ArrayList<String>()

    /** The number of transactions that exceeded the lowered write rate and were rejected. */
    var rejectedForRate = 0
        private set

    /** Whether a transaction gets no response and is executed 2 to 12 s later. */
    var isDelayed: (from: String, transaction: JsonObject) -> Boolean = { _, _ -> false }

    /** The delayed transactions, in the order in which they were executed. */
    val delayedTransactions = ArrayList<DelayedTransaction>()

    /** The committed transactions of each sender, in order. */
    private val committedBySender = HashMap<String, ArrayList<JsonObject>>()

    init {
        clock.every(50.milliseconds) { expireLeases() }
    }

    /**
     * Refuses all requests of [member], or of all members if it is null, with 503. If [endWatches]
     * is true, their open watches also end with 503.
     */
    fun startOutage(member: String?, endWatches: Boolean = false) {
        refusedMembers.add(member)
        if (!endWatches) return
        for (watch in watches.filter { member == null || it.member == member }) {
            watch.open = false
            watches.remove(watch)
            watch.answer(503, "{}")
        }
    }

    /** Ends an outage that began with [startOutage] for the same [member]. */
    fun endOutage(member: String?) {
        refusedMembers.remove(member)
        // After an outage of the whole store, all leases start again with their full duration.
        if (member == null)
            for (lease in leases.values) lease.expiresAt = clock.now + lease.duration
        if (holdsRefusedWatches) notifyWatches()
    }

    /** Writes [key] as a client outside the simulation. Watches do not report this write. */
    fun write(key: String, data: JsonElement) {
        keys[key] = Entry(data, ++revision, null)
    }

    /** The value of [key], or null if it does not exist. */
    fun value(key: String): JsonElement? = keys[key]?.data

    /** The revision of the last write of [key], or null if it does not exist. */
    fun version(key: String): Long? = keys[key]?.version

    private fun expireLeases() {
        if (null in refusedMembers) return
        val expired = leases.filterValues { it.expiresAt < clock.now }.keys
        for (id in expired) endLease(id)
    }

    private fun endLease(id: Long) {
        leases.remove(id) ?: return
        val keysOfLease = keys.filterValues { it.lease == id }.keys.toList()
        if (keysOfLease.isEmpty()) return
        revision++
        for (key in keysOfLease) remove(key)
        notifyWatches()
    }

    private fun remove(key: String) {
        if (keys.remove(key) != null) changes.add(KeyChange(revision, key, null))
    }

    fun handle(
        from: String,
        method: String,
        path: String,
        body: String,
        answer: (Int, String) -> Unit,
    ) {
        onRequest?.invoke(path, body)
        if (null in refusedMembers || from in refusedMembers) return answer(503, "{}")
        val route = path.substringBefore('?')
        val query =
            path
                .substringAfter('?', "")
                .split('&')
                .filter { '=' in it }
                .associate { it.substringBefore('=') to it.substringAfter('=') }
        when {
            route == "/keys" -> listKeys(query, answer)
            route.startsWith("/keys/") -> get(route.removePrefix("/keys/"), answer)
            route == "/multi" -> {
                val transaction = Json.parseToJsonElement(body).jsonObject
                val delayed =
                    isDelayed(from, transaction) ||
                        delayProbability > 0 && clock.chance(delayProbability)
                if (delayed) commitDelayed(from, transaction) else commit(from, transaction, answer)
            }
            route == "/watch" -> watch(from, query, answer)
            route == "/leases" -> {
                val duration =
                    Json.parseToJsonElement(body).jsonObject.getValue("life_ms").jsonPrimitive.int
                leases[++lastLease] =
                    Lease(duration.milliseconds, clock.now + duration.milliseconds)
                answer(200, """{"permit":$lastLease}""")
            }
            route.endsWith("/renew") -> {
                val lease = leases[route.split('/')[2].toLong()]
                lease?.let { it.expiresAt = clock.now + it.duration }
                answer(if (lease == null) 404 else 200, "{}")
            }
            method == "DELETE" -> {
                endLease(route.split('/')[2].toLong())
                answer(200, "{}")
            }
            else ->
                protocolViolations.add(
                    "request to the key-value store with unknown route: $method $path"
                )
        }
    }

    private fun get(key: String, answer: (Int, String) -> Unit) {
        val entry = keys[key] ?: return answer(404, """{"epoch":$revision}""")
        answer(200, item(key, entry).toString())
    }

    private fun item(key: String, entry: Entry) = buildJsonObject {
        put("k", key)
        put("data", entry.data)
        put("stamp", entry.version)
        if (entry.lease != null) put("permit", entry.lease)
    }

    private fun listKeys(query: Map<String, String>, answer: (Int, String) -> Unit) {
        val prefix = query.getValue("under")
        val from = query["from"] ?: ""
        // Pages are small so that tests exercise reading the following pages.
        val limit = minOf(query["limit"]?.toInt() ?: 1000, 5)
        val found =
            keys.tailMap(prefix).entries.filter { it.key.startsWith(prefix) && it.key > from }
        val body = buildJsonObject {
            putJsonArray("items") { for (e in found.take(limit)) add(item(e.key, e.value)) }
            put("truncated", found.size > limit)
            put("epoch", revision)
        }
        answer(200, body.toString())
    }

    /** Executes [transaction] 2 to 12 s later. Its sender gets no response. */
    private fun commitDelayed(from: String, transaction: JsonObject) {
        val committedBefore = committedBySender[from].orEmpty().size
        clock.after(clock.randomBetween(2_000.milliseconds, 12_000.milliseconds)) {
            commitAfterOutage(from, transaction, committedBefore)
        }
    }

    /**
     * Executes [transaction] as soon as the whole store is available. It does not matter whether
     * its sender alone is refused.
     */
    private fun commitAfterOutage(from: String, transaction: JsonObject, committedBefore: Int) {
        // A transaction that arrived before an outage is executed after it.
        if (null in refusedMembers)
            clock.after(500.milliseconds) { commitAfterOutage(from, transaction, committedBefore) }
        else {
            val newerTransactions = committedBySender[from].orEmpty().drop(committedBefore)
            val putKeys =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    it.jsonObject["put"]?.jsonPrimitive?.content
                }
            val existingKeys = putKeys.filter { it in keys }.toSet()
            commit(from, transaction) { status, _ ->
                delayedTransactions.add(
                    DelayedTransaction(transaction, newerTransactions, existingKeys, status)
                )
            }
        }
    }

    private fun commit(from: String, json: JsonObject, answer: (Int, String) -> Unit) {
        val conditions = json["if"]?.jsonArray ?: JsonArray(emptyList())
        val operations = json["then"]?.jsonArray ?: JsonArray(emptyList())
        if (operations.size > limits.txnOps)
            protocolViolations.add("$from: ${operations.size} changes, limit ${limits.txnOps}")
        if (conditions.size > limits.txnOps * 4)
            protocolViolations.add("$from: ${conditions.size} conditions, limit 4*${limits.txnOps}")
        if (json.toString().length > 65_536)
            protocolViolations.add("$from: ${json.toString().length} characters, limit 65536")
        loweredLimits?.let { lower ->
            val large = operations.map { it.jsonObject }.firstOrNull { tooLarge(it, lower) }
            if (large != null || operations.size > (lower.txnOps ?: Int.MAX_VALUE)) {
                val what = large?.get("put")?.jsonPrimitive?.content ?: "${operations.size} changes"
                rejectedForSize.add("$what from $from")
                return answer(400, """{"error":"too large"}""")
            }
            recentWriteTimes.removeIf { it < clock.now - 1_000.milliseconds }
            if (recentWriteTimes.size + operations.size > (lower.writeRps ?: Double.MAX_VALUE)) {
                rejectedForRate++
                return answer(429, "{}")
            }
            repeat(operations.size) { recentWriteTimes.addLast(clock.now) }
        }
        val failed =
            conditions
                .map { it.jsonObject }
                .filter {
                    (keys[it.text("k")]?.version ?: 0) != it.getValue("stamp").jsonPrimitive.long
                }
                .map { it.text("k") }
        val puts = operations.map { it.jsonObject }.filter { "put" in it }
        if (puts.any { p -> p["permit"]?.let { it.jsonPrimitive.long !in leases } == true }) {
            return answer(400, """{"error":"no such lease"}""")
        }
        if (failed.isNotEmpty()) {
            val body = buildJsonObject {
                putJsonArray("failed") { for (key in failed) add(key) }
                put("epoch", revision)
            }
            return answer(409, body.toString())
        }
        if (operations.isNotEmpty()) {
            revision++
            committedBySender.getOrPut(from) { ArrayList() }.add(json)
        }
        for (change in operations.map { it.jsonObject }) {
            val key = (change["put"] ?: change.getValue("remove")).jsonPrimitive.content
            if ("put" in change) {
                val data = change.getValue("data")
                if (data.toString().length > maxValueLength)
                    protocolViolations.add("value of $key exceeds $maxValueLength characters")
                keys[key] = Entry(data, revision, change["permit"]?.jsonPrimitive?.long)
                changes.add(KeyChange(revision, key, data))
            } else {
                remove(key)
            }
        }
        answer(200, """{"epoch":$revision}""")
        notifyWatches()
    }

    private fun tooLarge(change: JsonObject, lower: AnnouncedStoreLimits) =
        change["data"].toString().length > (lower.valueKb ?: Double.MAX_VALUE) * 1024

    /** Enforces lower limits from now on. Controllers get no notice. */
    fun lowerLimits(limits: AnnouncedStoreLimits) {
        loweredLimits = limits
    }

    /** The length in characters of the largest value under [prefix], or 0 if there is none. */
    fun largestValueLength(prefix: String): Int =
        keys
            .tailMap(prefix)
            .filterKeys { it.startsWith(prefix) }
            .values
            .maxOfOrNull { it.data.toString().length } ?: 0

    private val maxValueLength = (limits.valueKb * 1024).toInt()

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    private fun watch(member: String, query: Map<String, String>, answer: (Int, String) -> Unit) {
        val from = query.getValue("from").toLong()
        // Few changes are retained so that tests exercise the 410 response to an outdated watch.
        if (
            changes.size > RETAINED_CHANGES &&
                changes[changes.size - RETAINED_CHANGES].revision > from
        ) {
            return answer(410, "{}")
        }
        val watch = Watch(member, query.getValue("under"), from, answer)
        watches.add(watch)
        val block = query["block_ms"]?.toInt() ?: 0
        clock.after(block.milliseconds) { close(watch) }
        notifyWatches()
    }

    /** Whether [watch] gets no response for now because its member is refused. */
    private fun isHeld(watch: Watch) =
        holdsRefusedWatches && (null in refusedMembers || watch.member in refusedMembers)

    private fun close(watch: Watch) {
        if (!watch.open || null in refusedMembers) return
        if (isHeld(watch)) return clock.after(500.milliseconds) { close(watch) }
        watch.open = false
        watches.remove(watch)
        watch.answer(200, """{"epoch":$revision,"events":[]}""")
    }

    private fun notifyWatches() {
        for (watch in watches.toList()) {
            if (isHeld(watch)) continue
            val newChanges =
                changes.filter { it.revision > watch.from && it.key.startsWith(watch.prefix) }
            if (newChanges.isEmpty()) continue
            watch.open = false
            watches.remove(watch)
            val body = buildJsonObject {
                put("epoch", revision)
                putJsonArray("events") {
                    for (change in newChanges) addJsonObject {
                        if (change.data == null) put("remove", change.key)
                        else {
                            put("put", JsonPrimitive(change.key))
                            put("data", change.data)
                        }
                        put("stamp", change.revision)
                    }
                }
            }
            watch.answer(200, body.toString())
        }
    }

    private companion object {
        const val RETAINED_CHANGES = 400
    }
}
