package wardmux.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.Token
import wardmux.serialization.lenientJson
import wardmux.worker.Order

/**
 * The answer to a report. One under a leader's token renews the lease, so it needs the right to.
 */
@Serializable
class ReportResponse
private constructor(
    @SerialName("baton") private val token: Long,
    @SerialName("orders") private val orders: List<Order>,
) {
    fun encode(): ByteArray = lenientJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** Renews the lease and carries [orders], among them the halts of [renewal]. */
        fun renewing(renewal: LeaseRenewal, orders: List<Order>) =
            ReportResponse(renewal.token.value, orders)

        /** What a renewal without any order says; kept by [LeaseRenewals] for all of them. */
        fun plain(token: Token): ByteArray = ReportResponse(token.value, emptyList()).encode()

        /** Under no leader's token: the worker drops it, and stays with this controller. */
        val DROPPED = ReportResponse(0, emptyList()).encode()
    }
}
