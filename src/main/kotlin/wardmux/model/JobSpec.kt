package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job as its user submitted it, and the form in which records keep it. Resources are those of one
 * task; times are in seconds.
 */
@Serializable
data class JobSpec(
    @SerialName("name_id") val id: String,
    @SerialName("jobclass") val jobClass: String,
    @SerialName("owner") val team: String,
    @SerialName("shape") val kind: JobKind,
    @SerialName("urgency") val priority: PriorityClass,
    @SerialName("pieces") val tasks: Int,
    @SerialName("cores") val cpus: Double,
    @SerialName("gpus") val gpus: Double,
    @SerialName("mem_gb") val memoryGb: Double,
    @SerialName("bundle") val image: String,
    @SerialName("pull_gb") val imageGb: Double,
    @SerialName("boxkinds") val types: List<String>? = null,
    @SerialName("ward") val zone: String? = null,
    @SerialName("same_place") val oneZone: Boolean,
    @SerialName("scatter") val spread: Boolean,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("guess_s") val estimateS: Double,
    @SerialName("savepoint_s") val checkpointS: Double,
    @SerialName("dump_s") val saveS: Double,
    @SerialName("due_s") val deadlineS: Double? = null,
) {
    /** The id as a type of its own. */
    val jobId: JobId
        get() = JobId(id)

    /** How long its user expects a task to run. */
    val estimate: Micros
        get() = estimateS.seconds

    /** True if its tasks run only all at the same time. */
    val isGang: Boolean
        get() = kind == JobKind.GANG

    /** True if a stopped task can write a checkpoint, from which its next attempt goes on. */
    val isCheckpointable: Boolean
        get() = checkpointS > 0

    /** At most this many tasks may be in one zone. */
    val zoneLimit: Int
        get() = if (spread) (tasks + 1) / 2 else tasks

    companion object {
        /** The most tasks that one job may have. */
        const val MAX_TASKS = 100_000
    }
}
