package wardmux.drain

import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** A drain as this leader last read or wrote it. */
class StoredDrain(val record: DrainRecord, val version: Long)

/** What became of a write of a drain. */
enum class DrainWrite {
    WRITTEN,

    /** Surely not written; it may be tried again. */
    REFUSED,

    /** Perhaps written: what is stored is read again before anything else is decided. */
    UNKNOWN,
}

/**
 * The drains in the state service, as the leader reads and writes them. Each write holds only while
 * the leader key and the drain's own key are as they were last seen, so one of an earlier leader,
 * or one that is applied late, changes nothing. After a write without an answer all are read again.
 */
class DrainStore(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val role: Role.Leader,
    private val fenced: () -> Unit,
) {
    private val log = logger<DrainStore>()
    private val drains = sortedMapOf<String, StoredDrain>()
    private val unreadable = sortedSetOf<String>()
    private val writing = HashMap<String, DrainRecord>()
    private var readAt = Micros.LONG_AGO
    private var reading = false

    /** Counts the readings: a write that was under way when one began no longer counts. */
    private var generation = 0

    /** All drains are known as they are stored. */
    var isRead = false
        private set

    /** The drains by their ids. */
    val all: List<DrainRecord>
        get() = drains.values.map { it.record }

    /** Ids of drains whose record this version can't read. */
    val unreadableIds: Set<String>
        get() = unreadable

    /** The largest record that can be stored. */
    val maxBytes: Int
        get() = store.maxValueBytes

    /** The drain [id], or null. */
    operator fun get(id: String): DrainRecord? = drains[id]?.record

    /** A write of this drain is under way. */
    fun isBusy(id: String): Boolean = id in writing

    /** Steps that are stored or about to be. */
    val steps: List<DrainStep>
        get() = (all + writing.values).filter { !it.state.isFinal }.mapNotNull { it.step }

    /** Reads what is stored if it is not known. */
    fun tick() {
        if (!isRead && !reading && context.now >= readAt) read()
    }

    private fun read() {
        reading = true
        val mine = ++generation
        store.scan(DrainRecord.PREFIX, DrainRecord.serializer()) { found ->
            if (mine != generation) return@scan
            reading = false
            if (found == null) {
                readAt = context.now + RETRY
                return@scan
            }
            drains.clear()
            unreadable.clear()
            writing.clear()
            for (item in found.items) {
                val record = item.data
                val id = item.key.removePrefix(DrainRecord.PREFIX)
                if (record == null) unreadable.add(id)
                else drains[id] = StoredDrain(record, item.version)
            }
            isRead = true
            log.info("{} drains are stored, {} can't be read", drains.size, unreadable.size)
        }
    }

    /**
     * Writes [changed] over what is known of it, with its holder and the time; [then] gets what was
     * written and what became of that.
     */
    fun write(changed: DrainRecord, then: (DrainRecord, DrainWrite) -> Unit) {
        val record = changed.copy(token = role.token.value, changedAt = context.wallTime.value)
        val id = record.request.id
        val mine = generation
        writing[id] = record
        val version = drains[id]?.version ?: 0
        val key = DrainRecord.key(id)
        val conditions = listOf(role.condition, VersionCondition(key, version))
        val change = WriteOperation(put = key, data = record.toJson())
        store.multi(conditions, listOf(change), RequestPriority.LEADER) { result ->
            if (mine != generation) return@multi then(record, DrainWrite.UNKNOWN)
            writing.remove(id)
            if (result is StoreResult.Ok) drains[id] = StoredDrain(record, result.value)
            then(record, outcome(result))
        }
    }

    /** Removes a drain that is over, so that what is stored stays small. */
    fun remove(id: String) {
        val stored = drains[id] ?: return
        val mine = generation
        writing[id] = stored.record
        val key = DrainRecord.key(id)
        val conditions = listOf(role.condition, VersionCondition(key, stored.version))
        store.multi(conditions, listOf(WriteOperation(remove = key)), RequestPriority.LEADER) {
            result ->
            if (mine != generation) return@multi
            writing.remove(id)
            if (outcome(result) == DrainWrite.WRITTEN) drains.remove(id)
        }
    }

    private fun outcome(result: StoreResult<Long>): DrainWrite =
        when (result) {
            is StoreResult.Ok -> DrainWrite.WRITTEN
            is StoreResult.Refused -> DrainWrite.REFUSED
            is StoreResult.Conflict -> {
                if (LeaderElection.KEY in result.failed) fenced() else readAgain()
                DrainWrite.UNKNOWN
            }
            else -> {
                readAgain()
                DrainWrite.UNKNOWN
            }
        }

    private fun readAgain() {
        generation++
        reading = false
        isRead = false
        readAt = context.now
    }

    private companion object {
        val RETRY = 400.milliseconds
    }
}
