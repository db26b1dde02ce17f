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
import wardmux.store.WriteOperation

/** A transaction that got no answer, with what its sender changed before it was carried out. */
class LateTransaction(
    private val transaction: JsonObject,
    private val newer: List<JsonObject>,
    /** The keys that it puts and that were there when it was carried out. */
    private val present: Set<String>,
    val status: Int,
) {
    val carriedOut: Boolean
        get() = status == 200

    /** It took the place of what was there. */
    fun replaced(key: String) = carriedOut && key in present

    fun changes(prefix: String) = changes(transaction, prefix)

    /** A newer one of the same sender that changed such a key was carried out before it. */
    fun overtakenBy(prefix: String) = newer.any { changes(it, prefix) }

    private fun changes(of: JsonObject, prefix: String) =
        of["then"]?.jsonArray.orEmpty().any { change ->
            val key = change.jsonObject.let { it["put"] ?: it.getValue("remove") }
            key.jsonPrimitive.content.startsWith(prefix)
        }
}

/** The key-value store, written from PROTOCOL. */
class FakeKeyValueStore(private val clock: SimulatedClock, private val deployment: StoreLimits) {
    private class Entry(val data: JsonElement, val version: Long, val lease: Long?)

    private class Lease(val life: Micros, var until: Micros)

    private class WriteOperation(val revision: Long, val key: String, val data: JsonElement?)

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
    private val changes = ArrayList<WriteOperation>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var lastLease = 0L

    /** Members that get 503; null stands for all. */
    private val refused = HashSet<String?>()

    /** Part of the transactions that get no answer and are carried out after newer ones. */
    var lateWrites = 0.0

    /** The open watches of a member that is refused alone wait, as PROTOCOL has it. */
    var refusedWatchesWait = false
    val problems = ArrayList<String>()

    /** Told of every request. */
    var heard: ((path: String, body: String) -> Unit)? = null

    /** Lower limits than those it began with, or null. */
    private var lowered: AnnouncedStoreLimits? = null
    private val written = ArrayDeque<Micros>()

    /** What was refused for its size under the lower limits. */
    val beyond = ArrayList<String>()

    /** How often changes were refused for their rate under the lower limits. */
    var limited = 0
        private set

    /** Which transactions get no answer and are carried out 2 to 12 s later. */
    var late: (from: String, transaction: JsonObject) -> Boolean = { _, _ -> false }
    val carriedOutLate = ArrayList<LateTransaction>()

    /** What was changed for each member, in order. */
    private val committed = HashMap<String, ArrayList<JsonObject>>()

    init {
        clock.every(50.milliseconds) { expire() }
    }

    /** If [endsWatches], what the member watches tells it nothing more either. */
    fun outage(member: String?, endsWatches: Boolean = false) {
        refused.add(member)
        if (!endsWatches) return
        for (watch in watches.filter { member == null || it.member == member }) {
            watch.open = false
            watches.remove(watch)
            watch.answer(503, "{}")
        }
    }

    fun back(member: String?) {
        refused.remove(member)
        // After an outage all leases have their full time again.
        if (member == null) for (lease in leases.values) lease.until = clock.now + lease.life
        if (refusedWatchesWait) wake()
    }

    /** Written by nobody who is played here. */
    fun write(key: String, data: JsonElement) {
        keys[key] = Entry(data, ++revision, null)
    }

    fun value(key: String): JsonElement? = keys[key]?.data

    fun version(key: String): Long? = keys[key]?.version

    private fun expire() {
        if (null in refused) return
        val over = leases.filterValues { it.until < clock.now }.keys
        for (id in over) endLease(id)
    }

    private fun endLease(id: Long) {
        leases.remove(id) ?: return
        val gone = keys.filterValues { it.lease == id }.keys.toList()
        if (gone.isEmpty()) return
        revision++
        for (key in gone) remove(key)
        wake()
    }

    private fun remove(key: String) {
        if (keys.remove(key) != null) changes.add(WriteOperation(revision, key, null))
    }

    fun handle(
        from: String,
        method: String,
        path: String,
        body: String,
        answer: (Int, String) -> Unit,
    ) {
        heard?.invoke(path, body)
        if (null in refused || from in refused) return answer(503, "{}")
        val route = path.substringBefore('?')
        val query =
            path
                .substringAfter('?', "")
                .split('&')
                .filter { '=' in it }
                .associate { it.substringBefore('=') to it.substringAfter('=') }
        when {
            route == "/keys" -> page(query, answer)
            route.startsWith("/keys/") -> get(route.removePrefix("/keys/"), answer)
            route == "/multi" -> {
                val transaction = Json.parseToJsonElement(body).jsonObject
                val late = late(from, transaction) || lateWrites > 0 && clock.chance(lateWrites)
                if (late) carryOutLate(from, transaction) else multi(from, transaction, answer)
            }
            route == "/watch" -> watch(from, query, answer)
            route == "/leases" -> {
                val life =
                    Json.parseToJsonElement(body).jsonObject.getValue("life_ms").jsonPrimitive.int
                leases[++lastLease] = Lease(life.milliseconds, clock.now + life.milliseconds)
                answer(200, """{"permit":$lastLease}""")
            }
            route.endsWith("/renew") -> {
                val lease = leases[route.split('/')[2].toLong()]
                lease?.let { it.until = clock.now + it.life }
                answer(if (lease == null) 404 else 200, "{}")
            }
            method == "DELETE" -> {
                endLease(route.split('/')[2].toLong())
                answer(200, "{}")
            }
            else -> problems.add("unknown call $method $path")
        }
    }

    /** Carried out as soon as the service works again; whether the sender is refused is all one. */
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

    private fun page(query: Map<String, String>, answer: (Int, String) -> Unit) {
        val prefix = query.getValue("under")
        val from = query["from"] ?: ""
        // Small pages, so that reading on is tried too.
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

    /** Nobody hears what becomes of it. */
    private fun carryOutLate(from: String, transaction: JsonObject) {
        val before = committed[from].orEmpty().size
        clock.after(clock.between(2_000.milliseconds, 12_000.milliseconds)) {
            carryOut(from, transaction, before)
        }
    }

    private fun carryOut(from: String, transaction: JsonObject, before: Int) {
        // It arrived before the outage began, and is carried out after it.
        if (null in refused) clock.after(500.milliseconds) { carryOut(from, transaction, before) }
        else {
            val newer = committed[from].orEmpty().drop(before)
            val put =
                transaction["then"]?.jsonArray.orEmpty().mapNotNull {
                    it.jsonObject["put"]?.jsonPrimitive?.content
                }
            val present = put.filter { it in keys }.toSet()
            multi(from, transaction) { status, _ ->
                carriedOutLate.add(LateTransaction(transaction, newer, present, status))
            }
        }
    }

    private fun multi(from: String, json: JsonObject, answer: (Int, String) -> Unit) {
        val conditions = json["if"]?.jsonArray ?: JsonArray(emptyList())
        val then = json["then"]?.jsonArray ?: JsonArray(emptyList())
        if (then.size > deployment.txnOps) problems.add("${then.size} changes in a transaction")
        if (conditions.size > deployment.txnOps * 4) problems.add("${conditions.size} conditions")
        if (json.toString().length > 65_536)
            problems.add("a transaction of ${json.toString().length}")
        lowered?.let { limits ->
            val large = then.map { it.jsonObject }.firstOrNull { tooLarge(it, limits) }
            if (large != null || then.size > (limits.txnOps ?: Int.MAX_VALUE)) {
                val what = large?.get("put")?.jsonPrimitive?.content ?: "${then.size} changes"
                beyond.add("$what from $from")
                return answer(400, """{"error":"too large"}""")
            }
            written.removeIf { it < clock.now - 1_000.milliseconds }
            if (written.size + then.size > (limits.writeRps ?: Double.MAX_VALUE)) {
                limited++
                return answer(429, "{}")
            }
            repeat(then.size) { written.addLast(clock.now) }
        }
        val failed =
            conditions
                .map { it.jsonObject }
                .filter {
                    (keys[it.text("k")]?.version ?: 0) != it.getValue("stamp").jsonPrimitive.long
                }
                .map { it.text("k") }
        val puts = then.map { it.jsonObject }.filter { "put" in it }
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
        if (then.isNotEmpty()) {
            revision++
            committed.getOrPut(from) { ArrayList() }.add(json)
        }
        for (change in then.map { it.jsonObject }) {
            val key = (change["put"] ?: change.getValue("remove")).jsonPrimitive.content
            if ("put" in change) {
                val data = change.getValue("data")
                if (data.toString().length > maxValue) problems.add("$key holds too much")
                keys[key] = Entry(data, revision, change["permit"]?.jsonPrimitive?.long)
                changes.add(WriteOperation(revision, key, data))
            } else {
                remove(key)
            }
        }
        answer(200, """{"epoch":$revision}""")
        wake()
    }

    private fun tooLarge(change: JsonObject, limits: AnnouncedStoreLimits) =
        change["data"].toString().length > (limits.valueKb ?: Double.MAX_VALUE) * 1024

    /** In force from now on, though nobody is told. */
    fun lower(limits: AnnouncedStoreLimits) {
        lowered = limits
    }

    /** The largest value of those that are stored under [prefix]. */
    fun largest(prefix: String): Int =
        keys
            .tailMap(prefix)
            .filterKeys { it.startsWith(prefix) }
            .values
            .maxOfOrNull { it.data.toString().length } ?: 0

    private val maxValue = (deployment.valueKb * 1024).toInt()

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    private fun watch(member: String, query: Map<String, String>, answer: (Int, String) -> Unit) {
        val from = query.getValue("from").toLong()
        // Few changes are kept, so that 410 is tried too.
        if (changes.size > KEPT && changes[changes.size - KEPT].revision > from) {
            return answer(410, "{}")
        }
        val watch = Watch(member, query.getValue("under"), from, answer)
        watches.add(watch)
        val block = query["block_ms"]?.toInt() ?: 0
        clock.after(block.milliseconds) { close(watch) }
        wake()
    }

    private fun waits(watch: Watch) =
        refusedWatchesWait && (null in refused || watch.member in refused)

    private fun close(watch: Watch) {
        if (!watch.open || null in refused) return
        if (waits(watch)) return clock.after(500.milliseconds) { close(watch) }
        watch.open = false
        watches.remove(watch)
        watch.answer(200, """{"epoch":$revision,"events":[]}""")
    }

    private fun wake() {
        for (watch in watches.toList()) {
            if (waits(watch)) continue
            val news =
                changes.filter { it.revision > watch.from && it.key.startsWith(watch.prefix) }
            if (news.isEmpty()) continue
            watch.open = false
            watches.remove(watch)
            val body = buildJsonObject {
                put("epoch", revision)
                putJsonArray("events") {
                    for (change in news) addJsonObject {
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
        const val KEPT = 400
    }
}
