package wardmux.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job as submitted by its user, which is also the form in which job records store it. Resource
 * amounts are those of one task; times are in seconds.
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
    /** The job's [id] as a [JobId]. */
    val jobId: JobId
        get() = JobId(id)

    /** The run time that the user expects of one task. */
    val estimate: Micros
        get() = estimateS.seconds

    /** True if the job's tasks can only run all at the same time. */
    val isGang: Boolean
        get() = kind == JobKind.GANG

    /**
     * True if a task that is stopped can write a checkpoint from which its next attempt resumes.
     */
    val isCheckpointable: Boolean
        get() = checkpointS > 0

    /** The maximum number of tasks of the job in one zone; all of them unless it is [spread]. */
    val zoneLimit: Int
        get() = if (spread) (tasks + 1) / 2 else tasks

    companion object {
        /** The maximum number of tasks of one job. */
        const val MAX_TASKS = 100_000
    }
}
