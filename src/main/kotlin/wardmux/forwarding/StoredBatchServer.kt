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
import wardmux.store.WriteOperation

/** Handles the batches of followers. */
fun interface BatchHandler {
    /** The response to [batch], or null if it is for another leader. */
    fun handle(batch: HeartbeatBatch): HeartbeatBatchResponse?
}

/**
 * The leader's side of forwarding through the key-value store: watches for batches, and writes the
 * responses to all members into one key.
 */
class StoredBatchServer(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val role: Role.Leader,
    private val handler: BatchHandler,
) {
    private val log = logger<StoredBatchServer>()
    private var watchFrom = Revision(role.token.value)

    /** When to watch next; null while a request is under way. */
    private var nextWatchAt: Micros? = Micros.LONG_AGO

    /** Responses that are not written yet, by member. */
    private val responses = LinkedHashMap<String, HeartbeatBatchResponse>()
    private var writing = false
    private var nextWriteAt = Micros.LONG_AGO
    private var closed = false

    /** The most bytes that the compressed responses may take. */
    private val maxPackedBytes: Int
        get() = store.maxValueBytes - StoredBatchClient.VALUE_OVERHEAD_BYTES

    /** Ends the watch: this leadership is over. */
    fun close() {
        closed = true
    }

    /** Watches for batches, and writes the responses that are due. */
    fun tick() {
        nextWatchAt?.let { if (context.now >= it) watch() }
        if (responses.isNotEmpty() && !writing && context.now >= nextWriteAt) write()
    }

    private fun watch() {
        nextWatchAt = null
        store.watch(StoredBatchClient.BATCHES, watchFrom, WATCH_TIME, RequestPriority.LEASE) {
            result ->
            if (closed) return@watch
            when (result) {
                is StoreResult.Ok -> {
                    watchFrom = maxOf(watchFrom, result.value.revision)
                    for (event in result.value.events) receive(event.data ?: continue)
                    nextWatchAt = context.now
                }
                // Batches may have been missed: a follower that got no response sends again.
                is StoreResult.InvalidRequest,
                is StoreResult.Compacted -> restartWatch()
                else -> nextWatchAt = context.now + RETRY_PAUSE
            }
        }
    }

    private fun restartWatch() =
        store.scan(StoredBatchClient.BATCHES, JsonElement.serializer()) { found ->
            if (found != null) watchFrom = found.revision
            nextWatchAt = context.now + RETRY_PAUSE
        }

    private fun receive(data: JsonElement) {
        val batch =
            ForwardingCodec.decodeBatch(data) ?: return log.error("a stored batch can't be decoded")
        if (FencingToken(batch.token) != role.token) return
        responses[batch.member] = handler.handle(batch) ?: return
    }

    /** Writes all responses into one value; those that do not fit stay for the next write. */
    private fun write() {
        val written = LinkedHashMap(responses)
        var packed = ForwardingCodec.pack(StoredBatchResponses(written))
        if (packed.length > maxPackedBytes) {
            written.replaceAll { _, response -> response.withoutCommands() }
            packed = ForwardingCodec.pack(StoredBatchResponses(written))
        }
        while (packed.length > maxPackedBytes && written.size > 1) {
            written.remove(written.keys.last())
            packed = ForwardingCodec.pack(StoredBatchResponses(written))
        }
        responses.keys.removeAll(written.keys.toSet())
        if (packed.length > maxPackedBytes) {
            return log.error("a response is too large to be stored")
        }
        writing = true
        nextWriteAt = context.now + WRITE_PERIOD
        val operation =
            WriteOperation(put = StoredBatchClient.ANSWERS, data = JsonPrimitive(packed))
        store.compareAndSwap(listOf(role.condition), listOf(operation), RequestPriority.LEASE) {
            writing = false
        }
    }

    private companion object {
        val WATCH_TIME = 8.seconds
        val RETRY_PAUSE = 500.milliseconds
        val WRITE_PERIOD = 700.milliseconds
    }
}
