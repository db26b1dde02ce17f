package wardmux.model

/**
 * The requirements of a task on its machine. Jobs with equal requests have the same eligible
 * machines.
 */
data class ResourceRequest(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
)
