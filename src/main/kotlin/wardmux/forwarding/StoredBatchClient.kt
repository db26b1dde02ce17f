package wardmux.forwarding

import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.CoreContext
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.seconds
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.WatchEvent
import wardmux.store.WriteOperation

/**
 * The follower's side of forwarding through the key-value store, which is used while the leader
 * can't be reached directly. Batches are compressed and sent less often than directly. Without this
 * path, all workers would be redirected to the leader when the grants expire.
 *
 * The guarantees are the same as for direct requests: a batch or response that is written late is
 * handled like a delayed message, and a response is accepted only for the batch that it identifies.
 */
class StoredBatchClient(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
) {
    /** The maximum size of a compressed batch, in bytes. */
    val maxPackedBytes: Int
        get() = store.maxValueBytes - VALUE_OVERHEAD_BYTES

    /**
     * Writes [packed], which is the compressed [batch], to the key-value store. [onResponse] is
     * called with the response, or with null if the write failed or no response arrived in time.
     */
    fun send(batch: HeartbeatBatch, packed: String, onResponse: (HeartbeatBatchResponse?) -> Unit) {
        val deadline = context.now + RESPONSE_TIMEOUT
        val operation =
            WriteOperation(put = BATCH_KEY_PREFIX + member, data = JsonPrimitive(packed))
        store.compareAndSwap(emptyList(), listOf(operation), RequestPriority.LEASE) { written ->
            if (written is StoreResult.Ok) awaitResponse(batch, written.value, deadline, onResponse)
            else onResponse(null)
        }
    }

    private fun awaitResponse(
        batch: HeartbeatBatch,
        fromRevision: Revision,
        deadline: Micros,
        onResponse: (HeartbeatBatchResponse?) -> Unit,
    ) {
        if (context.now >= deadline) return onResponse(null)
        store.watch(RESPONSES_KEY, fromRevision, deadline - context.now, RequestPriority.LEASE) {
            result ->
            if (result !is StoreResult.Ok) return@watch onResponse(null)
            val response = result.value.events.firstNotNullOfOrNull { findResponse(it, batch) }
            if (response != null) onResponse(response)
            else
                awaitResponse(
                    batch,
                    maxOf(fromRevision, result.value.revision),
                    deadline,
                    onResponse,
                )
        }
    }

    private fun findResponse(event: WatchEvent, batch: HeartbeatBatch): HeartbeatBatchResponse? {
        val stored = event.data?.let { ForwardingCodec.decodeStoredResponses(it) } ?: return null
        return stored.byMember[member]?.takeIf {
            it.processIncarnation == batch.processIncarnation && it.number == batch.number
        }
    }

    companion object {
        /** Prefix of the keys of batches. It is followed by the name of the sending member. */
        const val BATCH_KEY_PREFIX = "r/"

        /** Key of the value that holds the responses to all members. */
        const val RESPONSES_KEY = "a/relays"

        /** Bytes reserved in a value for the quotes and the rest of its encoding. */
        const val VALUE_OVERHEAD_BYTES = 256
        private val RESPONSE_TIMEOUT = 4.seconds
    }
}
