package wardmux.drain

import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.logging.logger
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** A drain as this leader last read or wrote it, with the version of its key. */
class StoredDrain(val record: DrainRecord, val version: KeyVersion)

/** The outcome of a write of a drain. */
enum class DrainWriteOutcome {
    WRITTEN,

    /** Not written; the write may be repeated. */
    REFUSED,

    /** Perhaps written: all drains are read again before anything else is decided. */
    UNKNOWN,
}

/**
 * The leader's access to the drains in the key-value store. Each write is conditional on the
 * versions of the leader's key and the drain's own key, so that a write by an earlier leader, or
 * one that is applied late, changes nothing. After a write without an answer all are read again.
 */
class DrainStore(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val role: Role.Leader,
    private val term: DrainTerm,
) {
    private val log = logger<DrainStore>()
    private val drains = sortedMapOf<String, StoredDrain>()
    private val unreadable = sortedSetOf<String>()
    private val pendingWrites = HashMap<String, DrainRecord>()
    private var nextReadAt = Micros.LONG_AGO
    private var isReading = false

    /** Counts reads: the outcome of a write that began before a read is unknown. */
    private var readGeneration = 0

    /** All drains have been read, and no write since had an unknown outcome. */
    var isRead = false
        private set

    /** The drains by their ids. */
    val all: List<DrainRecord>
        get() = drains.values.map { it.record }

    /** Ids of drains whose records this version can't read. */
    val unreadableIds: Set<String>
        get() = unreadable

    /** The largest size of a record, in bytes. */
    val maxBytes: Int
        get() = store.maxValueBytes

    /** The drain [id], or null. */
    operator fun get(id: String): DrainRecord? = drains[id]?.record

    /** True while a write of this drain is under way. */
    fun isBusy(id: String): Boolean = id in pendingWrites

    /** The steps of drains that are not final, stored or being written. */
    val activeSteps: List<DrainStep>
        get() = (all + pendingWrites.values).filter { !it.state.isFinal }.mapNotNull { it.step }

    /** Reads all drains if they are not known. */
    fun tick() {
        if (!isRead && !isReading && context.now >= nextReadAt) read()
    }

    private fun read() {
        isReading = true
        val startGeneration = ++readGeneration
        store.scan(DrainRecord.PREFIX, DrainRecord.serializer()) { found ->
            if (startGeneration != readGeneration) return@scan
            isReading = false
            if (found == null) {
                nextReadAt = context.now + READ_RETRY_DELAY
                return@scan
            }
            drains.clear()
            unreadable.clear()
            pendingWrites.clear()
            for (item in found.items) {
                val record = item.data
                val id = item.key.removePrefix(DrainRecord.PREFIX)
                if (record == null) unreadable.add(id)
                else drains[id] = StoredDrain(record, item.version)
            }
            isRead = true
            log.info("read {} drains, {} more can't be decoded", drains.size, unreadable.size)
        }
    }

    /** A new drain of this leader; [newest] is the newest machine that it may take out. */
    fun newRecord(request: DrainRequest, newest: String): DrainRecord {
        val now = context.wallTime.value
        return DrainRecord(request, DrainState.PLANNED, role.token.value, now, now, newest)
    }

    /**
     * Writes [changed] with this leader's token and the time; [then] is called with the record as
     * written and the outcome.
     */
    fun write(changed: DrainRecord, then: (DrainRecord, DrainWriteOutcome) -> Unit) {
        val record = changed.copy(token = role.token.value, changedAt = context.wallTime.value)
        val id = record.request.id
        val startGeneration = readGeneration
        pendingWrites[id] = record
        val version = drains[id]?.version ?: KeyVersion.ABSENT
        val key = DrainRecord.key(id)
        val conditions = listOf(role.condition, VersionCondition(key, version))
        val operation = WriteOperation(put = key, data = record.toJson())
        store.compareAndSwap(conditions, listOf(operation), RequestPriority.LEADER) { result ->
            if (startGeneration != readGeneration)
                return@compareAndSwap then(record, DrainWriteOutcome.UNKNOWN)
            pendingWrites.remove(id)
            if (result is StoreResult.Ok) drains[id] = StoredDrain(record, result.value.keyVersion)
            then(record, outcome(result))
        }
    }

    /** Removes a drain from the store. */
    fun remove(id: String) {
        val stored = drains[id] ?: return
        val startGeneration = readGeneration
        pendingWrites[id] = stored.record
        val key = DrainRecord.key(id)
        val conditions = listOf(role.condition, VersionCondition(key, stored.version))
        store.compareAndSwap(
            conditions,
            listOf(WriteOperation(remove = key)),
            RequestPriority.LEADER,
        ) { result ->
            if (startGeneration != readGeneration) return@compareAndSwap
            pendingWrites.remove(id)
            if (outcome(result) == DrainWriteOutcome.WRITTEN) drains.remove(id)
        }
    }

    private fun outcome(result: StoreResult<Revision>): DrainWriteOutcome =
        when (result) {
            is StoreResult.Ok -> DrainWriteOutcome.WRITTEN
            is StoreResult.NotExecuted -> DrainWriteOutcome.REFUSED
            is StoreResult.Conflict -> {
                if (LeaderElection.KEY in result.failed) term.fenced() else scheduleReread()
                DrainWriteOutcome.UNKNOWN
            }
            else -> {
                scheduleReread()
                DrainWriteOutcome.UNKNOWN
            }
        }

    private fun scheduleReread() {
        readGeneration++
        isReading = false
        isRead = false
        nextReadAt = context.now
    }

    private companion object {
        val READ_RETRY_DELAY = 400.milliseconds
    }
}
