package wardmux.model

/** What a task requires of its machine. Jobs with the same request find the same machines. */
data class ResourceRequest(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
)
