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

    /** Stores [batch], [packed] already; [then] gets the response, or null if none came in time. */
    fun send(batch: HeartbeatBatch, packed: String, then: (HeartbeatBatchResponse?) -> Unit) {
        val deadline = context.now + RESPONSE_TIMEOUT
        val operation = WriteOperation(put = BATCHES + member, data = JsonPrimitive(packed))
        store.compareAndSwap(emptyList(), listOf(operation), RequestPriority.LEASE) { written ->
            if (written is StoreResult.Ok) awaitResponse(batch, written.value, deadline, then)
            else then(null)
        }
    }

    private fun awaitResponse(
        batch: HeartbeatBatch,
        from: Revision,
        deadline: Micros,
        then: (HeartbeatBatchResponse?) -> Unit,
    ) {
        if (context.now >= deadline) return then(null)
        store.watch(ANSWERS, from, deadline - context.now, RequestPriority.LEASE) { result ->
            if (result !is StoreResult.Ok) return@watch then(null)
            val response = result.value.events.firstNotNullOfOrNull { responseIn(it, batch) }
            if (response != null) then(response)
            else awaitResponse(batch, maxOf(from, result.value.revision), deadline, then)
        }
    }

    private fun responseIn(event: WatchEvent, batch: HeartbeatBatch): HeartbeatBatchResponse? {
        val all = event.data?.let { ForwardingCodec.decodeStoredResponses(it) } ?: return null
        return all.byMember[member]?.takeIf {
            it.processIncarnation == batch.processIncarnation && it.number == batch.number
        }
    }

    companion object {
        /** Prefix of the keys of batches; the member follows. */
        const val BATCHES = "r/"

        /** Key of the responses to all members. */
        const val ANSWERS = "a/relays"

        /** For the quotes and what else a value is wrapped in. */
        const val VALUE_OVERHEAD_BYTES = 256
        private val RESPONSE_TIMEOUT = 4.seconds
    }
}
