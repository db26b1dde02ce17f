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
 * The follower's side of forwarding through the key-value store, for a leader that it can't connect
 * to: compressed, and less often than directly. Without it all workers would go to the leader when
 * the grants expire.
 *
 * The guarantees are the same as on the direct way: a batch or a response that is written late is a
 * late copy, and a response counts only for the batch that it names.
 */
class StoredBatchClient(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
) {
    /** The most bytes that a compressed batch may take. */
    val maxPackedBytes: Int
        get() = store.maxValueBytes - VALUE_OVERHEAD_BYTES

    /**
     * Stores [batch], [packed] already; [onResponse] gets the response, or null if none came in
     * time.
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
        /** Prefix of the keys of batches; the member follows. */
        const val BATCH_KEY_PREFIX = "r/"

        /** Key of the responses to all members. */
        const val RESPONSES_KEY = "a/relays"

        /** For the quotes and what else a value is wrapped in. */
        const val VALUE_OVERHEAD_BYTES = 256
        private val RESPONSE_TIMEOUT = 4.seconds
    }
}
