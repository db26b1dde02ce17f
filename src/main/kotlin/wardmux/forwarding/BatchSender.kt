package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Sends a relay's batches to the leader: directly, or through the state service for some time after
 * the leader could not be connected to.
 */
class BatchSender(
    private val context: CoreContext,
    private val storedBatchClient: StoredBatchClient,
) {
    private val log = logger<BatchSender>()
    private var throughStoreUntil = Micros.LONG_AGO
    private var storedReportBytes = storedBatchClient.maxPackedBytes

    /** Batches go by way of the state service for now, where they are slower and smaller. */
    val isThroughStore: Boolean
        get() = context.now < throughStoreUntil

    /** Reports are added to a batch until they take so many bytes. */
    val maxReportBytes: Int
        get() = if (isThroughStore) storedReportBytes else MAX_DIRECT_BYTES

    /** A stored batch holds few signs of life where values are small; the next takes the rest. */
    val maxUnchanged: Int
        get() =
            if (isThroughStore) maxOf(storedBatchClient.maxPackedBytes / UNCHANGED_BYTES, 1)
            else Int.MAX_VALUE

    /** Another leader: it may well be reached directly. */
    fun reset() {
        throughStoreUntil = Micros.LONG_AGO
    }

    /** Sends [batch] to [leader]; [then] gets the answer, or null if there is none. */
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
                log.info("{} can't be reached: by way of the state service", leader)
                throughStoreUntil = context.now + STORE_TIME
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
            storedReportBytes = minOf(storedReportBytes * 2, maxBytes * MIN_COMPRESSION)
            return storedBatchClient.ask(batch, packed, then)
        }
        storedReportBytes = maxOf(storedReportBytes / 2, 1)
        then(null)
    }

    private companion object {
        val TIMEOUT = 3.seconds
        const val MAX_DIRECT_BYTES = 200_000

        /** Until a direct connection is tried again. */
        val STORE_TIME = 5.seconds

        /** Reports are packed to a fifth or less. */
        const val MIN_COMPRESSION = 4

        /** The most that a machine's number and tick take in a stored batch. */
        const val UNCHANGED_BYTES = 12
    }
}
