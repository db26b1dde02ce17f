package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Sends a follower's batches to the leader: directly, or through the key-value store for some time
 * after the leader could not be connected to.
 */
class BatchSender(
    private val context: CoreContext,
    private val storedBatchClient: StoredBatchClient,
) {
    private val log = logger<BatchSender>()
    private var usesStoreUntil = Micros.LONG_AGO

    /** The uncompressed heartbeats that are expected to fit into a stored batch, in bytes. */
    private var maxStoredHeartbeatBytes = storedBatchClient.maxPackedBytes

    /** Whether batches go through the key-value store now, which is slower and holds less. */
    val usesStore: Boolean
        get() = context.now < usesStoreUntil

    /** Full heartbeats are added to a batch until they take so many bytes. */
    val maxHeartbeatBytes: Int
        get() = if (usesStore) maxStoredHeartbeatBytes else MAX_DIRECT_HEARTBEAT_BYTES

    /** How many unchanged heartbeats a batch may hold; a stored one is limited by its value. */
    val maxUnchangedHeartbeats: Int
        get() =
            if (usesStore)
                maxOf(
                    storedBatchClient.maxPackedBytes / MAX_PACKED_BYTES_PER_UNCHANGED_HEARTBEAT,
                    1,
                )
            else Int.MAX_VALUE

    /** Another controller leads: it is tried directly first. */
    fun resetToDirect() {
        usesStoreUntil = Micros.LONG_AGO
    }

    /** Sends [batch] to [leader]; [onResponse] gets the response, or null if there is none. */
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
                log.info("{} can't be reached; forwarding through the key-value store", leader)
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

        /** How long batches go through the store before the leader is tried directly again. */
        val DIRECT_SENDING_PAUSE = 5.seconds

        /** The most uncompressed bytes that are tried for each byte of a value. */
        const val MAX_COMPRESSION_RATIO = 4

        /** The most that an unchanged heartbeat takes in a compressed batch. */
        const val MAX_PACKED_BYTES_PER_UNCHANGED_HEARTBEAT = 12
    }
}
