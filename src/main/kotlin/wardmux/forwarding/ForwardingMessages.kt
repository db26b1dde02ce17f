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

/** A worker's report that differs from the last one handed on, as the worker sent it. */
@Serializable
class FullHeartbeat(
    /** What signs of life refer to: another number for each report that was handed on whole. */
    @SerialName("number") val number: Long,
    @OptIn(ExperimentalSerializationApi::class) @ByteString @SerialName("body") val body: ByteArray,
)

/**
 * What a relay has heard since its last batch, and its wish to go on taking reports. A batch that
 * is lost, late, doubled or out of order does no harm: what it says of a machine is held against
 * the machine's session and tick, and a number that the leader does not know is asked for again.
 */
@Serializable
class HeartbeatBatch(
    @SerialName("member") val member: String,
    /** Tells two processes of one member apart. */
    @SerialName("boot") val processIncarnation: String,
    /** Counts the batches of a process. */
    @SerialName("number") val number: Long,
    /** The leader that it is for. */
    @SerialName("token") val token: Long,
    /** The leader's clock in its last answer, 0 if none came yet. */
    @SerialName("echo") val echoedClock: Long,
    /** Time at the relay since that answer, in microseconds. */
    @SerialName("since") val sinceEcho: Long,
    @SerialName("reports") val reports: List<FullHeartbeat> = emptyList(),
    /** Signs of life, two numbers each: of the report that still holds, and the tick. */
    @SerialName("signs") val unchanged: List<Long> = emptyList(),
)

/** What a machine is told with the answer to its next report. */
@Serializable
class UndeliveredCommands(
    @SerialName("machine") val machine: String,
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<WorkerCommand>,
)

/** The leader's answer to a batch: the grant, and what the relay is to tell workers. */
@Serializable
class HeartbeatBatchResponse(
    /** The batch that this answers. */
    @SerialName("boot") val processIncarnation: String,
    @SerialName("number") val number: Long,
    @SerialName("token") val token: Long,
    /** The leader's clock, to be echoed. */
    @SerialName("clock") val leaderClock: Long,
    /** False: the leader takes all reports itself. */
    @SerialName("wanted") val forwardingEnabled: Boolean = true,
    /** How long the relay may answer workers, counted from when it sent the batch; microseconds. */
    @SerialName("grant") val grantDuration: Long = 0,
    /** Numbers that the leader does not know: their machines' reports are to be sent whole. */
    @SerialName("unknown") val unknownNumbers: List<Long> = emptyList(),
    @SerialName("mail") val undelivered: List<UndeliveredCommands> = emptyList(),
    /** Machines that are not to be answered any more. */
    @SerialName("refuse") val rejectedMachines: List<String> = emptyList(),
    /** So many workers are to be sent to [shedTo]. */
    @SerialName("shed") val rebalanceCount: Int = 0,
    @SerialName("shedTo") val rebalanceTarget: String? = null,
    /** The leader has been unsure of its lease for long enough that workers are sent on once. */
    @SerialName("sendOn") val redirectsWorkers: Boolean = false,
    /** False: workers are kept, but their leases are not renewed for now. */
    @SerialName("renews") val renewalAllowed: Boolean = true,
    /** Jobs that are cancelled and of which something may be on a machine. */
    @SerialName("cancelled") val cancelledJobs: List<String> = emptyList(),
    /**
     * Tasks without whose halts the leases of their machines are not renewed under this grant; null
     * from a leader of an earlier version, which names none.
     */
    @SerialName("mustHalt") val mustHalt: List<CancelledTasks>? = null,
) {
    /**
     * The machines will be told again. Without the tasks that have to be halted no lease may be
     * renewed, so if there are any, none is.
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

/** What the leader answers by way of the state service. */
@Serializable
class StoredBatchResponses(
    @SerialName("byMember") val byMember: Map<String, HeartbeatBatchResponse>
)

/** Batches and their answers as bytes, and packed as the state service keeps them. */
object ForwardingCodec {
    const val PATH = "/relay"

    /** A batch as it is sent directly. */
    fun encode(batch: HeartbeatBatch): ByteArray =
        CborFormat.encode(HeartbeatBatch.serializer(), batch)

    /** An answer as it is sent directly. */
    fun encode(answer: HeartbeatBatchResponse): ByteArray =
        CborFormat.encode(HeartbeatBatchResponse.serializer(), answer)

    /** The batch in [bytes], or null if they hold none. */
    fun decodeBatch(bytes: ByteArray): HeartbeatBatch? =
        CborFormat.decode(HeartbeatBatch.serializer(), bytes)

    /** The answer in [bytes], or null if they hold none. */
    fun decodeResponse(bytes: ByteArray): HeartbeatBatchResponse? =
        CborFormat.decode(HeartbeatBatchResponse.serializer(), bytes)

    /** As the state service keeps it. */
    fun pack(batch: HeartbeatBatch): String = packed(encode(batch))

    /** All answers in one value of the state service. */
    fun pack(answers: StoredBatchResponses): String =
        packed(CborFormat.encode(StoredBatchResponses.serializer(), answers))

    /** The batch in a value of the state service, or null if it holds none. */
    fun decodeBatch(stored: JsonElement): HeartbeatBatch? =
        unpacked(stored)?.let { decodeBatch(it) }

    /** The answers in a value of the state service, or null if it holds none. */
    fun decodeStoredResponses(stored: JsonElement): StoredBatchResponses? =
        unpacked(stored)?.let { CborFormat.decode(StoredBatchResponses.serializer(), it) }

    private fun packed(bytes: ByteArray): String {
        val out = ByteArrayOutputStream()
        DeflaterOutputStream(out).use { it.write(bytes) }
        return Base64.getEncoder().encodeToString(out.toByteArray())
    }

    /** Null if it is nothing that was packed, or more than was ever. */
    private fun unpacked(stored: JsonElement): ByteArray? =
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
