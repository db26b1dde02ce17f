package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.serialization.lenientJson
import wardmux.worker.WorkerCommand

/** The response to a heartbeat. Under a leader's token it renews the lease: see [LeaseRenewal]. */
@Serializable
class WorkerHeartbeatResponse
private constructor(
    @SerialName("baton") private val token: Long,
    @SerialName("orders") private val commands: List<WorkerCommand>,
) {
    /** The body of the response. */
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /**
         * Renews the lease and carries [commands], among them the stops that [renewal] requires.
         */
        fun renewing(renewal: LeaseRenewal, commands: List<WorkerCommand>) =
            WorkerHeartbeatResponse(renewal.token.value, commands)

        /** Under no leader's token: the worker ignores it and stays with this controller. */
        val IGNORED = WorkerHeartbeatResponse(0, emptyList()).encode()
    }
}
