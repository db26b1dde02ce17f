package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Sends a follower's heartbeat batches to the leader. Batches are sent directly by default. After a
 * direct request that got no response they are sent through the key-value store for
 * [DIRECT_SENDING_PAUSE].
 */
class BatchSender(
    private val context: CoreContext,
    private val storedBatchClient: StoredBatchClient,
) {
    private val log = logger<BatchSender>()
    private var usesStoreUntil = Micros.LONG_AGO

    /**
     * Estimate of how many bytes of uncompressed heartbeats fit into a stored batch. It doubles
     * when a batch fits and halves when one does not, because the compression ratio is not known.
     */
    private var maxStoredHeartbeatBytes = storedBatchClient.maxPackedBytes

    /**
     * Whether batches are currently sent through the key-value store, which is slower than sending
     * them directly and limits their size.
     */
    val usesStore: Boolean
        get() = context.now < usesStoreUntil

    /** Full heartbeats are added to a batch until their total size reaches this many bytes. */
    val maxHeartbeatBytes: Int
        get() = if (usesStore) maxStoredHeartbeatBytes else MAX_DIRECT_HEARTBEAT_BYTES

    /**
     * The maximum number of unchanged heartbeats in a batch. Only a stored batch is limited, by the
     * maximum size of a value in the key-value store.
     */
    val maxUnchangedHeartbeats: Int
        get() =
            if (usesStore)
                maxOf(
                    storedBatchClient.maxPackedBytes / MAX_PACKED_BYTES_PER_UNCHANGED_HEARTBEAT,
                    1,
                )
            else Int.MAX_VALUE

    /** Returns to sending batches directly, because another controller has become the leader. */
    fun resetToDirect() {
        usesStoreUntil = Micros.LONG_AGO
    }

    /**
     * Sends [batch] to the member [leader]. [onResponse] is called with the response, or with null
     * if the batch could not be sent or got no valid response.
     */
    fun send(leader: String, batch: HeartbeatBatch, onResponse: (HeartbeatBatchResponse?) -> Unit) =
        if (usesStore) sendThroughStore(batch, onResponse)
        else sendDirectly(leader, batch, onResponse)

    private fun sendDirectly(
        leader: String,
        batch: HeartbeatBatch,
        onResponse: (HeartbeatBatchResponse?) -> Unit,
    ) {
        val bytes = ForwardingCodec.encode(batch)
        val target = Target.Peer(leader)
        context.send(target, "POST", ForwardingCodec.PATH, bytes, DIRECT_RESPONSE_TIMEOUT) { outcome
            ->
            val response = outcome as? Outcome.Response
            if (response == null) {
                log.info(
                    "no response from leader {}; forwarding through the key-value store",
                    leader,
                )
                usesStoreUntil = context.now + DIRECT_SENDING_PAUSE
            }
            onResponse(
                response
                    ?.takeIf { it.status == HttpStatus.OK }
                    ?.let { ForwardingCodec.decodeResponse(it.body) }
            )
        }
    }

    private fun sendThroughStore(
        batch: HeartbeatBatch,
        onResponse: (HeartbeatBatchResponse?) -> Unit,
    ) {
        val packed = ForwardingCodec.pack(batch)
        val maxBytes = storedBatchClient.maxPackedBytes
        if (packed.length <= maxBytes) {
            maxStoredHeartbeatBytes =
                minOf(maxStoredHeartbeatBytes * 2, maxBytes * MAX_COMPRESSION_RATIO)
            return storedBatchClient.send(batch, packed, onResponse)
        }
        maxStoredHeartbeatBytes = maxOf(maxStoredHeartbeatBytes / 2, 1)
        onResponse(null)
    }

    private companion object {
        val DIRECT_RESPONSE_TIMEOUT = 3.seconds
        const val MAX_DIRECT_HEARTBEAT_BYTES = 200_000

        /** How long batches are sent through the store before direct sending is retried. */
        val DIRECT_SENDING_PAUSE = 5.seconds

        /** The highest ratio of uncompressed heartbeat bytes to value bytes that is tried. */
        const val MAX_COMPRESSION_RATIO = 4

        /** Upper bound on the size of an unchanged heartbeat in a compressed batch, in bytes. */
        const val MAX_PACKED_BYTES_PER_UNCHANGED_HEARTBEAT = 12
    }
}
