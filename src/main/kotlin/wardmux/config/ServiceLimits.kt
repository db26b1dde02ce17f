package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The limits of the key-value store, for all controllers together. */
@Serializable
data class StoreLimits(
    @SerialName("rps") val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    /** The limits from some later, unannounced moment on; null if there will be none. */
    @SerialName("next") val next: AnnouncedStoreLimits? = null,
) {
    /** The smaller of each present and later limit: safe at any moment. */
    val lowest: StoreLimits
        get() =
            StoreLimits(
                minOf(rps, next?.rps ?: rps),
                minOf(writeRps, next?.writeRps ?: writeRps),
                minOf(valueKb, next?.valueKb ?: valueKb),
                minOf(txnOps, next?.txnOps ?: txnOps),
            )
}

/** Later limits of the key-value store; one that is null stays as it is. */
@Serializable
data class AnnouncedStoreLimits(
    @SerialName("rps") val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

/** The limits of the cloud API, and how old its list of machines may be, in seconds. */
@Serializable
data class CloudLimits(
    @SerialName("rps") val rps: Double,
    @SerialName("list_lag_s") val listLagS: Double,
)

/** The resource limits of a controller's process. */
@Serializable
data class ProcessLimits(
    @SerialName("cpu") val cpu: Double = 1.0,
    @SerialName("ram_mb") val ramMb: Double = 0.0,
    @SerialName("fd_limit") val fdLimit: Int,
) {
    /** How the sockets of the process are divided. */
    val sockets: SocketBudget
        get() = SocketBudget(fdLimit)

    /** The most memory for the last heartbeats of machines, which spare parsing equal ones. */
    val heartbeatCacheBytes: Long
        get() =
            maxOf(
                (ramMb * BYTES_PER_MB * HEARTBEAT_CACHE_SHARE).toLong(),
                MIN_HEARTBEAT_CACHE_BYTES,
            )

    private companion object {
        const val BYTES_PER_MB = 1024 * 1024
        const val HEARTBEAT_CACHE_SHARE = 0.06
        const val MIN_HEARTBEAT_CACHE_BYTES = 8L * BYTES_PER_MB
    }
}
