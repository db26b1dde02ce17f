package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.serialization.lenientJson
import wardmux.worker.WorkerCommand

/**
 * The response to a worker's heartbeat. A response under a leader's token renews the lease, so only
 * a [LeaseRenewal] may create one.
 */
@Serializable
class WorkerHeartbeatResponse
private constructor(
    @SerialName("baton") private val token: Long,
    @SerialName("orders") private val commands: List<WorkerCommand>,
) {
    /** Encodes the body of the response. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /**
         * A response that renews the lease and carries [commands], which have to include the stops
         * that [renewal] requires.
         */
        fun renewing(renewal: LeaseRenewal, commands: List<WorkerCommand>) =
            WorkerHeartbeatResponse(renewal.token.value, commands)

        /**
         * The encoded response under no leader's token. The worker ignores it and keeps sending its
         * heartbeats to this controller.
         */
        val IGNORED = WorkerHeartbeatResponse(0, emptyList()).encode()
    }
}
