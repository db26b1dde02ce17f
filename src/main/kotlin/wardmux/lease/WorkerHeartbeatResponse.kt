package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.FencingToken
import wardmux.serialization.lenientJson
import wardmux.worker.WorkerCommand

/**
 * The answer to a report. One under a leader's token renews the lease, so it needs the right to.
 */
@Serializable
class WorkerHeartbeatResponse
private constructor(
    @SerialName("baton") private val token: Long,
    @SerialName("orders") private val orders: List<WorkerCommand>,
) {
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** Renews the lease and carries [orders], among them the halts of [renewal]. */
        fun renewing(renewal: LeaseRenewal, orders: List<WorkerCommand>) =
            WorkerHeartbeatResponse(renewal.token.value, orders)

        /** What a renewal without any order says; kept by [LeaseRenewals] for all of them. */
        fun plain(token: FencingToken): ByteArray =
            WorkerHeartbeatResponse(token.value, emptyList()).encode()

        /** Under no leader's token: the worker drops it, and stays with this controller. */
        val DROPPED = WorkerHeartbeatResponse(0, emptyList()).encode()
    }
}
