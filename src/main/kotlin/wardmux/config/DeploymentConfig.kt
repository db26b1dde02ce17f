package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The part of the platform's configuration that describes the deployment: teams and their quotas,
 * zones, objectives, the workers' timing, and the limits of services and processes.
 */
@Serializable
data class DeploymentConfig(
    @SerialName("nodes") val nodes: Int,
    @SerialName("zones") val zones: List<String>,
    @SerialName("clock_error_ms") val clockErrorMs: Double = 0.0,
    @SerialName("teams") val teams: List<TeamQuota>,
    @SerialName("objectives") val objectives: List<ServiceLevelObjective> = emptyList(),
    @SerialName("workers") val workers: WorkerTiming,
    @SerialName("state") val state: StoreLimits,
    @SerialName("cloud") val cloud: CloudLimits,
    @SerialName("limits") val limits: ProcessLimits,
)

/** A team's quota: the CPUs and GPUs it is guaranteed, and the most that it may use. */
@Serializable
data class TeamQuota(
    @SerialName("name") val name: String,
    @SerialName("cpus") val cpus: Double,
    @SerialName("cpus_max") val cpusMax: Double,
    @SerialName("gpus") val gpus: Double = 0.0,
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

/** A service-level objective for the jobs of one class. */
@Serializable
data class ServiceLevelObjective(
    @SerialName("kind") val kind: String = "",
    @SerialName("class") val jobClass: String = "",
    @SerialName("within_s") val withinS: Double = 0.0,
    @SerialName("share") val share: Double = 0.0,
    @SerialName("times") val times: Double = 1.0,
) {
    internal companion object {
        /** A task starts within [withinS] seconds of its submission. */
        const val KIND_WAIT = "wait"

        /** A job is finished within [withinS] seconds of its submission. */
        const val KIND_FINISHED = "finished"
    }
}

/**
 * The timing of workers, in seconds: the heartbeat period, the length of a machine's lease and the
 * time to cancel a task.
 */
@Serializable
data class WorkerTiming(
    @SerialName("report_s") val heartbeatPeriodS: Double,
    @SerialName("lease_s") val leaseS: Double,
    @SerialName("cancel_s") val cancelS: Double,
    /** How long a task of a gang waits for the other tasks of the gang to start. */
    @SerialName("gang_wait_s") val gangWaitS: Double = 30.0,
    /** The longest time in which the tasks of a gang notice that one of them has failed. */
    @SerialName("gang_peer_s") val gangPeerS: Double = 5.0,
)
