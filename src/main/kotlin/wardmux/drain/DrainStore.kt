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

/** A drain as this leader last read or wrote it, and the version of its key then. */
class StoredDrain(val record: DrainRecord, val version: KeyVersion)

/** The outcome of writing a drain to the key-value store. */
enum class DrainWriteOutcome {
    WRITTEN,

    /** The drain was not written; the write may be repeated. */
    REFUSED,

    /**
     * It is not known what the store holds: the write got no answer, failed on its conditions or
     * was rejected as invalid. If the leader's term continues, it reads all drains again before it
     * decides anything else about drains.
     */
    UNKNOWN,
}

/**
 * The leader's access to the drains in the key-value store. Each write is conditional on the
 * versions of the leader's key and the drain's own key, so a write by an earlier leader, or one
 * that the store applies late, has no effect. All drains are read again after a write that got no
 * answer, was rejected as invalid, or failed on the version of the drain's own key.
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

    /**
     * Incremented whenever a read starts or becomes necessary. The outcome of a write that was sent
     * in an earlier generation is unknown.
     */
    private var readGeneration = 0

    /** True if all drains have been read and no write since then had an unknown outcome. */
    var isRead = false
        private set

    /** All drains that this version can decode, ordered by id. */
    val all: List<DrainRecord>
        get() = drains.values.map { it.record }

    /** The ids of drains whose stored records this version can't decode. */
    val unreadableIds: Set<String>
        get() = unreadable

    /** The maximum size of a stored record, in bytes. */
    val maxBytes: Int
        get() = store.maxValueBytes

    /** The drain [id]; null if it does not exist or its record can't be decoded. */
    operator fun get(id: String): DrainRecord? = drains[id]?.record

    /** True while a write or removal of the drain [id] has no outcome yet. */
    fun isBusy(id: String): Boolean = id in pendingWrites

    /**
     * The current steps of all drains that have not ended, both as stored and as in the writes that
     * have no outcome yet.
     */
    val activeSteps: List<DrainStep>
        get() = (all + pendingWrites.values).filter { !it.state.isFinal }.mapNotNull { it.step }

    /** Starts reading all drains if they are not known and no read is in progress. */
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
            log.info(
                "read {} drains from the store; the records of {} others can't be decoded",
                drains.size,
                unreadable.size,
            )
        }
    }

    /**
     * A record for a new drain, not stored yet. [newest] is the id of the newest machine that it
     * drains without being named in [request].
     */
    fun newRecord(request: DrainRequest, newest: String): DrainRecord {
        val now = context.wallTime.value
        return DrainRecord(request, DrainState.PLANNED, role.token.value, now, now, newest)
    }

    /**
     * Writes [changed] with this leader's fencing token and the current time. [then] is called with
     * the record as sent to the store and the outcome.
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

    /** Removes the drain [id] from the store, if it exists. */
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
