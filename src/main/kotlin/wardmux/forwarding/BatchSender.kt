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
    private var throughStoreUntil = Micros.LONG_AGO

    /** The uncompressed heartbeats that are expected to fit into a stored batch, in bytes. */
    private var storedHeartbeatBytes = storedBatchClient.maxPackedBytes

    /** Whether batches go through the key-value store now, which is slower and holds less. */
    val isThroughStore: Boolean
        get() = context.now < throughStoreUntil

    /** Full heartbeats are added to a batch until they take so many bytes. */
    val maxHeartbeatBytes: Int
        get() = if (isThroughStore) storedHeartbeatBytes else MAX_DIRECT_BYTES

    /** How many unchanged heartbeats a batch may hold; a stored one is limited by its value. */
    val maxUnchanged: Int
        get() =
            if (isThroughStore) maxOf(storedBatchClient.maxPackedBytes / MAX_UNCHANGED_BYTES, 1)
            else Int.MAX_VALUE

    /** Another controller leads: it is tried directly first. */
    fun reset() {
        throughStoreUntil = Micros.LONG_AGO
    }

    /** Sends [batch] to [leader]; [then] gets the response, or null if there is none. */
    fun send(leader: String, batch: HeartbeatBatch, then: (HeartbeatBatchResponse?) -> Unit) =
        if (isThroughStore) sendThroughStore(batch, then) else sendDirectly(leader, batch, then)

    private fun sendDirectly(
        leader: String,
        batch: HeartbeatBatch,
        then: (HeartbeatBatchResponse?) -> Unit,
    ) {
        val bytes = ForwardingCodec.encode(batch)
        val target = Target.Peer(leader)
        context.send(target, "POST", ForwardingCodec.PATH, bytes, TIMEOUT) { outcome ->
            val response = outcome as? Outcome.Response
            if (response == null) {
                log.info("{} can't be reached; forwarding through the key-value store", leader)
                throughStoreUntil = context.now + DIRECT_RETRY_PAUSE
            }
            then(
                response
                    ?.takeIf { it.status == HttpStatus.OK }
                    ?.let { ForwardingCodec.decodeResponse(it.body) }
            )
        }
    }

    private fun sendThroughStore(batch: HeartbeatBatch, then: (HeartbeatBatchResponse?) -> Unit) {
        val packed = ForwardingCodec.pack(batch)
        val maxBytes = storedBatchClient.maxPackedBytes
        if (packed.length <= maxBytes) {
            storedHeartbeatBytes = minOf(storedHeartbeatBytes * 2, maxBytes * MAX_COMPRESSION)
            return storedBatchClient.send(batch, packed, then)
        }
        storedHeartbeatBytes = maxOf(storedHeartbeatBytes / 2, 1)
        then(null)
    }

    private companion object {
        val TIMEOUT = 3.seconds
        const val MAX_DIRECT_BYTES = 200_000

        /** How long batches go through the store before the leader is tried directly again. */
        val DIRECT_RETRY_PAUSE = 5.seconds

        /** The most uncompressed bytes that are tried for each byte of a value. */
        const val MAX_COMPRESSION = 4

        /** The most that an unchanged heartbeat takes in a compressed batch. */
        const val MAX_UNCHANGED_BYTES = 12
    }
}
