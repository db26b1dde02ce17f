package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The limits of the key-value store. They apply to all controllers together. */
@Serializable
data class StoreLimits(
    @SerialName("rps") val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    /**
     * Limits that will replace these at a time that is not announced; null if no change is
     * announced.
     */
    @SerialName("next") val next: AnnouncedStoreLimits? = null,
) {
    /**
     * The smaller of each present and announced limit. These are safe at any time, since it is not
     * known when the announced limits take effect.
     */
    val lowest: StoreLimits
        get() =
            StoreLimits(
                minOf(rps, next?.rps ?: rps),
                minOf(writeRps, next?.writeRps ?: writeRps),
                minOf(valueKb, next?.valueKb ?: valueKb),
                minOf(txnOps, next?.txnOps ?: txnOps),
            )
}

/** Announced limits of the key-value store; a limit that is null does not change. */
@Serializable
data class AnnouncedStoreLimits(
    @SerialName("rps") val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

/** The rate limit of the cloud's API, and how outdated its list of machines may be, in seconds. */
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
    /** The division of the sockets of the process among their uses. */
    val sockets: SocketBudget
        get() = SocketBudget(fdLimit)

    /**
     * The most memory for the cache of the machines' last heartbeats, in bytes. A heartbeat equal
     * to the cached one is not parsed again.
     */
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
