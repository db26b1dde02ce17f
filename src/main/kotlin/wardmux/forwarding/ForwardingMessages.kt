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

/** A worker's heartbeat that differs from the last one forwarded, as the worker sent it. */
@Serializable
class FullHeartbeat(
    /** Identifies this heartbeat when a later one is the same; never used twice by a process. */
    @SerialName("number") val number: Long,
    @OptIn(ExperimentalSerializationApi::class) @ByteString @SerialName("body") val body: ByteArray,
)

/**
 * The heartbeats that a follower has answered since its last batch, and its request for a new
 * grant. A batch that is lost, late, duplicated or out of order does no harm: every heartbeat is
 * compared with the machine's incarnation and tick, and a number that the leader does not know is
 * asked for again.
 */
@Serializable
class HeartbeatBatch(
    @SerialName("member") val member: String,
    /** The process of [member] that sends it. */
    @SerialName("boot") val processIncarnation: String,
    /** Counts the batches of a process. */
    @SerialName("number") val number: Long,
    /** Fencing token of the leader that it is for. */
    @SerialName("token") val token: Long,
    /**
     * The leader's clock in its last response, in microseconds: all heartbeats answered before that
     * response came are in this batch or an earlier one. 0 if there was none, or if heartbeats had
     * to be left out.
     */
    @SerialName("echo") val echoedClock: Long,
    /** Time at the follower since that response, in microseconds. */
    @SerialName("since") val sinceEcho: Long,
    @SerialName("reports") val fullHeartbeats: List<FullHeartbeat> = emptyList(),
    /**
     * Unchanged heartbeats, two numbers each: that of the [FullHeartbeat] which they equal, and
     * their tick.
     */
    @SerialName("signs") val unchanged: List<Long> = emptyList(),
)

/** Commands for a machine, to be delivered with the response to its next heartbeat. */
@Serializable
class UndeliveredCommands(
    @SerialName("machine") val machine: String,
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<WorkerCommand>,
)

/** The leader's response to a batch: the new grant, and what the follower is to tell workers. */
@Serializable
class HeartbeatBatchResponse(
    /** With [number], the batch that this responds to. */
    @SerialName("boot") val processIncarnation: String,
    @SerialName("number") val number: Long,
    @SerialName("token") val token: Long,
    /** The leader's clock in microseconds, to be sent back with the next batch. */
    @SerialName("clock") val leaderClock: Long,
    /** False if the leader answers all workers itself. */
    @SerialName("wanted") val forwardingEnabled: Boolean = true,
    /**
     * How long the follower may answer workers, in microseconds, counted from when it sent the
     * batch.
     */
    @SerialName("grant") val grantDuration: Long = 0,
    /** Numbers that the leader does not know: these heartbeats are to be sent in full. */
    @SerialName("unknown") val unknownNumbers: List<Long> = emptyList(),
    @SerialName("mail") val undelivered: List<UndeliveredCommands> = emptyList(),
    /** Machines that are not to be answered any more. */
    @SerialName("refuse") val rejectedMachines: List<String> = emptyList(),
    /** So many workers are to be redirected to [rebalanceTarget]. */
    @SerialName("shed") val rebalanceCount: Int = 0,
    @SerialName("shedTo") val rebalanceTarget: String? = null,
    /** The leader has been unsure of its lease for so long that each worker is redirected once. */
    @SerialName("sendOn") val redirectsWorkers: Boolean = false,
    /** False if workers are answered, but their leases not renewed for now. */
    @SerialName("renews") val renewalAllowed: Boolean = true,
    /** Cancelled jobs of which a task may be on a machine. */
    @SerialName("cancelled") val cancelledJobs: List<String> = emptyList(),
    /**
     * Tasks that the response to their machine must stop if it renews the machine's lease; null
     * from a leader of an earlier version, which names none.
     */
    @SerialName("mustHalt") val mustHalt: List<CancelledTasks>? = null,
) {
    /**
     * The same without what concerns single machines, which the next response repeats. Where tasks
     * must be stopped, no lease may be renewed without naming them, so none is.
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

/** The responses that the leader leaves in the key-value store, by member. */
@Serializable
class StoredBatchResponses(
    @SerialName("byMember") val byMember: Map<String, HeartbeatBatchResponse>
)

/** Batches and responses as bytes, and compressed as values of the key-value store. */
object ForwardingCodec {
    /** Where batches are sent to. */
    const val PATH = "/relay"

    /** Encodes a batch that is sent directly. */
    fun encode(batch: HeartbeatBatch): ByteArray =
        CborFormat.encode(HeartbeatBatch.serializer(), batch)

    /** Encodes a response that is sent directly. */
    fun encode(response: HeartbeatBatchResponse): ByteArray =
        CborFormat.encode(HeartbeatBatchResponse.serializer(), response)

    /** Decodes a batch; null if [bytes] hold none. */
    fun decodeBatch(bytes: ByteArray): HeartbeatBatch? =
        CborFormat.decode(HeartbeatBatch.serializer(), bytes)

    /** Decodes a response; null if [bytes] hold none. */
    fun decodeResponse(bytes: ByteArray): HeartbeatBatchResponse? =
        CborFormat.decode(HeartbeatBatchResponse.serializer(), bytes)

    /** Compresses a batch into a value of the key-value store. */
    fun pack(batch: HeartbeatBatch): String = compress(encode(batch))

    /** Compresses all responses into one value of the key-value store. */
    fun pack(responses: StoredBatchResponses): String =
        compress(CborFormat.encode(StoredBatchResponses.serializer(), responses))

    /** Decodes a stored batch; null if the value holds none. */
    fun decodeBatch(stored: JsonElement): HeartbeatBatch? =
        decompress(stored)?.let { decodeBatch(it) }

    /** Decodes stored responses; null if the value holds none. */
    fun decodeStoredResponses(stored: JsonElement): StoredBatchResponses? =
        decompress(stored)?.let { CborFormat.decode(StoredBatchResponses.serializer(), it) }

    private fun compress(bytes: ByteArray): String {
        val out = ByteArrayOutputStream()
        DeflaterOutputStream(out).use { it.write(bytes) }
        return Base64.getEncoder().encodeToString(out.toByteArray())
    }

    /** Null if [stored] was not compressed, or holds more than any message. */
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
