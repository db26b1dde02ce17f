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
    /** Returns the response to [batch], or null if the batch is addressed to another leader. */
    fun handle(batch: HeartbeatBatch): HeartbeatBatchResponse?
}

/**
 * The leader's side of forwarding through the key-value store: watches for batches of followers and
 * writes the responses to all members into a single key.
 */
class StoredBatchServer(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val role: Role.Leader,
    private val handler: BatchHandler,
) {
    private val log = logger<StoredBatchServer>()
    private var watchFromRevision = Revision(role.token.value)

    /** When to send the next watch request; null while a request is in flight. */
    private var nextWatchAt: Micros? = Micros.LONG_AGO

    /** Responses that have not been written yet, by member. */
    private val unwrittenResponses = LinkedHashMap<String, HeartbeatBatchResponse>()
    private var isWriting = false
    private var nextWriteAt = Micros.LONG_AGO
    private var isClosed = false

    /** The maximum size of all compressed responses together, in bytes. */
    private val maxPackedBytes: Int
        get() = store.maxValueBytes - StoredBatchClient.VALUE_OVERHEAD_BYTES

    /** Stops watching for batches, because this controller is no longer the leader. */
    fun close() {
        isClosed = true
    }

    /** Starts the next watch request and writes the pending responses, if they are due. */
    fun tick() {
        nextWatchAt?.let { if (context.now >= it) watchBatches() }
        if (unwrittenResponses.isNotEmpty() && !isWriting && context.now >= nextWriteAt)
            writeResponses()
    }

    private fun watchBatches() {
        nextWatchAt = null
        store.watch(
            StoredBatchClient.BATCH_KEY_PREFIX,
            watchFromRevision,
            WATCH_TIMEOUT,
            RequestPriority.LEASE,
        ) { result ->
            if (isClosed) return@watch
            when (result) {
                is StoreResult.Ok -> {
                    watchFromRevision = maxOf(watchFromRevision, result.value.revision)
                    for (event in result.value.events) handleStoredBatch(event.data ?: continue)
                    nextWatchAt = context.now
                }
                // Batches may have been missed. That is harmless, because a follower that gets no
                // response sends its heartbeats again.
                is StoreResult.InvalidRequest,
                is StoreResult.Compacted -> scanForWatchRevision()
                else -> nextWatchAt = context.now + WATCH_RETRY_PAUSE
            }
        }
    }

    /** Continues watching from the store's current revision. */
    private fun scanForWatchRevision() =
        store.scan(StoredBatchClient.BATCH_KEY_PREFIX, JsonElement.serializer()) { found ->
            if (found != null) watchFromRevision = found.revision
            nextWatchAt = context.now + WATCH_RETRY_PAUSE
        }

    private fun handleStoredBatch(data: JsonElement) {
        val batch =
            ForwardingCodec.decodeBatch(data)
                ?: return log.error("ignored a stored heartbeat batch that can't be decoded")
        if (FencingToken(batch.token) != role.token) return
        unwrittenResponses[batch.member] = handler.handle(batch) ?: return
    }

    /**
     * Writes the pending responses as one value. If they are too large, they are written without
     * the fields that concern individual machines; responses that still do not fit stay pending for
     * the next write.
     */
    private fun writeResponses() {
        val responsesToWrite = LinkedHashMap(unwrittenResponses)
        var packed = ForwardingCodec.pack(StoredBatchResponses(responsesToWrite))
        if (packed.length > maxPackedBytes) {
            responsesToWrite.replaceAll { _, response -> response.withoutCommands() }
            packed = ForwardingCodec.pack(StoredBatchResponses(responsesToWrite))
        }
        while (packed.length > maxPackedBytes && responsesToWrite.size > 1) {
            responsesToWrite.remove(responsesToWrite.keys.last())
            packed = ForwardingCodec.pack(StoredBatchResponses(responsesToWrite))
        }
        unwrittenResponses.keys.removeAll(responsesToWrite.keys.toSet())
        if (packed.length > maxPackedBytes) {
            return log.error(
                "discarded a batch response of {} compressed bytes; at most {} can be stored",
                packed.length,
                maxPackedBytes,
            )
        }
        isWriting = true
        nextWriteAt = context.now + RESPONSE_WRITE_PERIOD
        val operation =
            WriteOperation(put = StoredBatchClient.RESPONSES_KEY, data = JsonPrimitive(packed))
        store.compareAndSwap(listOf(role.condition), listOf(operation), RequestPriority.LEASE) {
            isWriting = false
        }
    }

    private companion object {
        val WATCH_TIMEOUT = 8.seconds
        val WATCH_RETRY_PAUSE = 500.milliseconds
        val RESPONSE_WRITE_PERIOD = 700.milliseconds
    }
}
