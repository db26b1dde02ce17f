package wardmux.forwarding

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive
import wardmux.lease.CancelledTasks
import wardmux.serialization.CborFormat
import wardmux.worker.WorkerCommand

/**
 * A worker's heartbeat in the encoding in which the worker sent it. It is forwarded in full because
 * it differs from the machine's last forwarded heartbeat in more than its tick.
 */
@Serializable
class FullHeartbeat(
    /**
     * Identifies this heartbeat, so that a later equal one can refer to it. A process never uses a
     * number twice.
     */
    @SerialName("number") val number: Long,
    @OptIn(ExperimentalSerializationApi::class) @ByteString @SerialName("body") val body: ByteArray,
)

/**
 * The heartbeats that a follower has answered since its last batch, and the follower's request for
 * a new grant.
 *
 * Batches may be lost, delayed, duplicated or reordered: the leader compares every heartbeat with
 * the last known incarnation and tick of its machine, and requests the full heartbeat for any
 * number that it does not know.
 */
@Serializable
class HeartbeatBatch(
    @SerialName("member") val member: String,
    /** Identifies the process of [member] that sends the batch. */
    @SerialName("boot") val processIncarnation: String,
    /** Sequence number of the batch within the process. */
    @SerialName("number") val number: Long,
    /** Fencing token of the leader to which the batch is addressed. */
    @SerialName("token") val token: Long,
    /**
     * The leader's clock in its last response, in microseconds. It asserts that every heartbeat
     * answered before that response arrived is in this batch or an earlier one. 0 if there was no
     * response yet, or if the batch had no room for all pending heartbeats.
     */
    @SerialName("echo") val echoedClock: Long,
    /** Time since that response arrived, by the follower's clock, in microseconds. */
    @SerialName("since") val sinceEcho: Long,
    @SerialName("reports") val fullHeartbeats: List<FullHeartbeat> = emptyList(),
    /**
     * Unchanged heartbeats as consecutive pairs: the number of the [FullHeartbeat] that the
     * heartbeat equals except for its tick, followed by its tick.
     */
    @SerialName("signs") val unchanged: List<Long> = emptyList(),
)

/**
 * Commands for a machine that the follower delivers with the response to the machine's next
 * heartbeat, if the machine still has this [incarnation].
 */
@Serializable
class UndeliveredCommands(
    @SerialName("machine") val machine: String,
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<WorkerCommand>,
)

/**
 * The leader's response to a batch: the new grant, and instructions for answering workers while the
 * grant is valid.
 */
@Serializable
class HeartbeatBatchResponse(
    /** Identifies, together with [number], the batch that this response belongs to. */
    @SerialName("boot") val processIncarnation: String,
    @SerialName("number") val number: Long,
    @SerialName("token") val token: Long,
    /** The leader's clock in microseconds. The follower echoes it in its next batch. */
    @SerialName("clock") val leaderClock: Long,
    /** False if the leader answers all workers itself and followers redirect them. */
    @SerialName("wanted") val forwardingEnabled: Boolean = true,
    /**
     * How long the follower may answer workers, in microseconds, counted from when it sent the
     * batch.
     */
    @SerialName("grant") val grantDuration: Long = 0,
    /** Numbers that the leader does not know. The follower sends these heartbeats in full. */
    @SerialName("unknown") val unknownNumbers: List<Long> = emptyList(),
    @SerialName("mail") val undelivered: List<UndeliveredCommands> = emptyList(),
    /** Machines whose heartbeats the follower rejects from now on. */
    @SerialName("refuse") val rejectedMachines: List<String> = emptyList(),
    /** The number of workers that the follower redirects to [rebalanceTarget]. */
    @SerialName("shed") val rebalanceCount: Int = 0,
    @SerialName("shedTo") val rebalanceTarget: String? = null,
    /**
     * True if the follower redirects each worker once, because the leader has been unsure for a
     * long time whether it still holds its leader lease.
     */
    @SerialName("sendOn") val redirectsWorkers: Boolean = false,
    /** False if the follower answers workers without renewing their leases. */
    @SerialName("renews") val renewalAllowed: Boolean = true,
    /** Cancelled jobs with a task that may be on a machine. */
    @SerialName("cancelled") val cancelledJobs: List<String> = emptyList(),
    /**
     * Tasks of cancelled jobs by machine: a response that renews the lease of the machine must stop
     * them. Null from a leader of an earlier version, which does not send this field.
     */
    @SerialName("mustHalt") val mustHalt: List<CancelledTasks>? = null,
) {
    /**
     * A copy without the fields that concern individual machines, for a response that would be too
     * large to store. The next response repeats those fields. If there are tasks to stop, the copy
     * does not allow renewals, because no lease may be renewed without listing these tasks.
     */
    fun withoutCommands() =
        HeartbeatBatchResponse(
            processIncarnation,
            number,
            token,
            leaderClock,
            forwardingEnabled,
            grantDuration,
            redirectsWorkers = redirectsWorkers,
            renewalAllowed = renewalAllowed && mustHalt.isNullOrEmpty(),
            mustHalt = mustHalt?.let { emptyList() },
        )
}

/** The responses that the leader writes to the key-value store, by member. */
@Serializable
class StoredBatchResponses(
    @SerialName("byMember") val byMember: Map<String, HeartbeatBatchResponse>
)

/**
 * Encodes batches and responses as CBOR for direct requests, and as compressed CBOR in Base64 for
 * values of the key-value store.
 */
object ForwardingCodec {
    /** The HTTP path to which batches are sent. */
    const val PATH = "/relay"

    /** Encodes a batch for sending it directly. */
    fun encode(batch: HeartbeatBatch): ByteArray =
        CborFormat.encode(HeartbeatBatch.serializer(), batch)

    /** Encodes a response for sending it directly. */
    fun encode(response: HeartbeatBatchResponse): ByteArray =
        CborFormat.encode(HeartbeatBatchResponse.serializer(), response)

    /** Decodes a batch; null if [bytes] are not a valid batch. */
    fun decodeBatch(bytes: ByteArray): HeartbeatBatch? =
        CborFormat.decode(HeartbeatBatch.serializer(), bytes)

    /** Decodes a response; null if [bytes] are not a valid response. */
    fun decodeResponse(bytes: ByteArray): HeartbeatBatchResponse? =
        CborFormat.decode(HeartbeatBatchResponse.serializer(), bytes)

    /** Compresses a batch into a value of the key-value store. */
    fun pack(batch: HeartbeatBatch): String = compress(encode(batch))

    /** Compresses all responses into one value of the key-value store. */
    fun pack(responses: StoredBatchResponses): String =
        compress(CborFormat.encode(StoredBatchResponses.serializer(), responses))

    /** Decodes a stored batch; null if [stored] is not a valid one. */
    fun decodeBatch(stored: JsonElement): HeartbeatBatch? =
        decompress(stored)?.let { decodeBatch(it) }

    /** Decodes stored responses; null if [stored] does not contain valid ones. */
    fun decodeStoredResponses(stored: JsonElement): StoredBatchResponses? =
        decompress(stored)?.let { CborFormat.decode(StoredBatchResponses.serializer(), it) }

    private fun compress(bytes: ByteArray): String {
        val out = ByteArrayOutputStream()
        DeflaterOutputStream(out).use { it.write(bytes) }
        return Base64.getEncoder().encodeToString(out.toByteArray())
    }

    /**
     * Null if [stored] is not Base64 of compressed data. The result is cut off at
     * [MAX_UNPACKED_BYTES], which is more than any message takes.
     */
    private fun decompress(stored: JsonElement): ByteArray? =
        try {
            val bytes = Base64.getDecoder().decode(stored.jsonPrimitive.content)
            InflaterInputStream(ByteArrayInputStream(bytes)).readNBytes(MAX_UNPACKED_BYTES)
        } catch (e: IllegalArgumentException) {
            null
        } catch (e: IOException) {
            null
        }

    private const val MAX_UNPACKED_BYTES = 1 shl 20
}
