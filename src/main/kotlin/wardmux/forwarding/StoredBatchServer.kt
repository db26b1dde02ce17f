package wardmux.forwarding

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.CoreContext
import wardmux.election.Role
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.WatchEvent
import wardmux.store.WriteOperation

/**
 * The way from a relay to the leader when the two can't connect: through the state service, packed
 * and seldom. Without it all workers would come to the leader as soon as the grants are over. What
 * goes this way proves no more and no less: a batch or an answer that is written late is a late
 * copy, and an answer counts only for the batch that it names.
 */
class StoredBatchClient(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
) {
    /** The most that a packed batch may take. */
    val maxPackedBytes: Int
        get() = store.maxValueBytes - VALUE_OVERHEAD

    /** [then] gets the answer, or null if none came in time. */
    fun ask(batch: HeartbeatBatch, packed: String, then: (HeartbeatBatchResponse?) -> Unit) {
        val until = context.now + ANSWER_TIMEOUT
        val change = WriteOperation(put = BATCHES + member, data = JsonPrimitive(packed))
        store.compareAndSwap(emptyList(), listOf(change), RequestPriority.LEASE) { written ->
            if (written is StoreResult.Ok) await(batch, written.value, until, then) else then(null)
        }
    }

    private fun await(
        batch: HeartbeatBatch,
        from: Revision,
        until: Micros,
        then: (HeartbeatBatchResponse?) -> Unit,
    ) {
        if (context.now >= until) return then(null)
        store.watch(ANSWERS, from, until - context.now, RequestPriority.LEASE) { result ->
            if (result !is StoreResult.Ok) return@watch then(null)
            val answer = result.value.events.firstNotNullOfOrNull { answerIn(it, batch) }
            if (answer != null) then(answer)
            else await(batch, maxOf(from, result.value.revision), until, then)
        }
    }

    private fun answerIn(event: WatchEvent, batch: HeartbeatBatch): HeartbeatBatchResponse? {
        val answers = event.data?.let { ForwardingCodec.decodeStoredResponses(it) } ?: return null
        return answers.byMember[member]?.takeIf {
            it.processIncarnation == batch.processIncarnation && it.number == batch.number
        }
    }

    companion object {
        const val BATCHES = "r/"
        const val ANSWERS = "a/relays"

        /** For the quotes and what else a value is wrapped in. */
        const val VALUE_OVERHEAD = 256
        private val ANSWER_TIMEOUT = 4.seconds
    }
}

/** The leader's side: takes batches from the state service and answers them there. */
class StoredBatchServer(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val role: Role.Leader,
    private val take: (HeartbeatBatch) -> HeartbeatBatchResponse?,
) {
    private val log = logger<StoredBatchServer>()
    private var watchFrom = Revision(role.token.value)
    private var watchAt: Micros? = Micros.LONG_AGO
    private val answers = LinkedHashMap<String, HeartbeatBatchResponse>()
    private var writing = false
    private var writeAt = Micros.LONG_AGO
    private var closed = false

    /** The most that packed answers may take. */
    private val maxPackedBytes: Int
        get() = store.maxValueBytes - StoredBatchClient.VALUE_OVERHEAD

    /** Ignores whatever still comes in: this leader session is over. */
    fun close() {
        closed = true
    }

    /** Watches for batches, and writes the answers that are due. */
    fun tick() {
        watchAt?.let { if (context.now >= it) watch() }
        if (answers.isNotEmpty() && !writing && context.now >= writeAt) write()
    }

    private fun watch() {
        watchAt = null
        store.watch(StoredBatchClient.BATCHES, watchFrom, WATCH_TIME, RequestPriority.LEASE) {
            result ->
            if (closed) return@watch
            when (result) {
                is StoreResult.Ok -> {
                    watchFrom = maxOf(watchFrom, result.value.revision)
                    for (event in result.value.events) received(event.data ?: continue)
                    watchAt = context.now
                }
                // Too old to go on from: whoever waits for an answer asks again.
                is StoreResult.InvalidRequest,
                is StoreResult.Compacted -> rescan()
                else -> watchAt = context.now + RETRY
            }
        }
    }

    private fun rescan() =
        store.scan(StoredBatchClient.BATCHES, JsonElement.serializer()) { found ->
            if (found != null) watchFrom = found.revision
            watchAt = context.now + RETRY
        }

    private fun received(data: JsonElement) {
        val batch =
            ForwardingCodec.decodeBatch(data) ?: return log.error("a stored batch can't be read")
        if (FencingToken(batch.token) != role.token) return
        answers[batch.member] = take(batch) ?: return
    }

    /** All that is to be answered, in one write; what does not fit is left to the next batches. */
    private fun write() {
        val all = LinkedHashMap(answers)
        var packed = ForwardingCodec.pack(StoredBatchResponses(all))
        if (packed.length > maxPackedBytes) {
            all.replaceAll { _, answer -> answer.withoutCommands() }
            packed = ForwardingCodec.pack(StoredBatchResponses(all))
        }
        // The rest goes with the next write, and whoever no longer waits for it asks again.
        while (packed.length > maxPackedBytes && all.size > 1) {
            all.remove(all.keys.last())
            packed = ForwardingCodec.pack(StoredBatchResponses(all))
        }
        answers.keys.removeAll(all.keys.toSet())
        if (packed.length > maxPackedBytes) return log.error("an answer is too large to be kept")
        writing = true
        writeAt = context.now + WRITE_PERIOD
        val change = WriteOperation(put = StoredBatchClient.ANSWERS, data = JsonPrimitive(packed))
        store.compareAndSwap(listOf(role.condition), listOf(change), RequestPriority.LEASE) {
            writing = false
        }
    }

    private companion object {
        val WATCH_TIME = 8.seconds
        val RETRY = 500.milliseconds
        val WRITE_PERIOD = 700.milliseconds
    }
}
