package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A machine type that the cloud offers, with its resources and its prices per hour for ordinary and
 * spot machines.
 */
@Serializable
data class MachineType(
    @SerialName("label") val label: String,
    @SerialName("cores") val cpus: Double,
    @SerialName("gpus") val gpus: Double = 0.0,
    @SerialName("mem_gb") val memoryGb: Double,
    @SerialName("local_gb") val cacheGb: Double = 0.0,
    @SerialName("pull_gb_per_s") val fetchGbPerS: Double = 1.0,
    @SerialName("hourly") val price: Double = 1.0,
    @SerialName("spot_price") val spotPrice: Double = 1.0,
    @SerialName("boot_s") val bootS: Double = 60.0,
    @SerialName("wards") val zones: List<String>,
) {
    /** Returns true if an empty machine of this type has room for one task of [spec]. */
    fun fits(spec: JobSpec) =
        spec.cpus <= cpus + RESOURCE_TOLERANCE &&
            spec.gpus <= gpus + RESOURCE_TOLERANCE &&
            spec.memoryGb <= memoryGb + RESOURCE_TOLERANCE

    /** Returns true if a machine of this type in at least one zone may run a task of [spec]. */
    fun allowedFor(spec: JobSpec) =
        fits(spec) &&
            (spec.types == null || label in spec.types) &&
            (spec.zone == null || spec.zone in zones)

    /** The number of tasks of [spec] for which an empty machine of this type has room. */
    fun taskCapacity(spec: JobSpec): Int {
        val byCpu = if (spec.cpus > 0) cpus / spec.cpus else Double.MAX_VALUE
        val byGpu = if (spec.gpus > 0) gpus / spec.gpus else Double.MAX_VALUE
        val byMemory = if (spec.memoryGb > 0) memoryGb / spec.memoryGb else Double.MAX_VALUE
        return (minOf(byCpu, byGpu, byMemory) + RESOURCE_TOLERANCE).coerceAtMost(MAX_TASKS).toInt()
    }

    companion object {
        /**
         * The tolerance for comparing sums of resource amounts, which are floating-point numbers
         * and have rounding errors.
         */
        const val RESOURCE_TOLERANCE = 1e-6

        /** An upper bound for results; no machine runs as many tasks. */
        private const val MAX_TASKS = 10_000.0
    }
}
