package wardmux.leader

import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobPhase
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.records.JobRecord
import wardmux.scheduling.ClusterState

/** Adds jobs found in the key-value store to the cluster's state. */
class JobRegistry(private val cluster: ClusterState, private val pageSize: Int) {
    /**
     * Adds and returns the job of [record]. Returns null if the job is known already or the record
     * contains no specification. [version] is the version of the stored record.
     */
    fun add(record: JobRecord, version: KeyVersion): Job? {
        val spec = record.spec ?: return null
        if (spec.jobId in cluster.jobs) return null
        val job = Job(spec, version, Micros(record.acceptedAt), pageSize)
        cluster.jobs[spec.jobId] = job
        cluster.markChanged()
        return job
    }

    /**
     * Returns the job [id], or adds a placeholder if it is not known. An unknown job is done, and
     * the store holds only task pages that are left of it. The placeholder lets them be removed
     * like those of any other job.
     */
    fun getOrAddCompleted(id: JobId): Job = cluster.jobs.getOrPut(id) { completedPlaceholder(id) }

    private fun completedPlaceholder(id: JobId): Job {
        val job = Job(placeholderSpec(id), KeyVersion.ABSENT, Micros.ZERO, pageSize)
        job.phase = JobPhase.DONE
        return job
    }

    private fun placeholderSpec(id: JobId) =
        JobSpec(
            id = id.value,
            jobClass = "",
            team = "",
            kind = JobKind.ARRAY,
            priority = PriorityClass.IDLE,
            tasks = JobSpec.MAX_TASKS,
            cpus = 0.0,
            gpus = 0.0,
            memoryGb = 0.0,
            image = "",
            imageGb = 0.0,
            oneZone = false,
            spread = false,
            spot = false,
            estimateS = 0.0,
            checkpointS = 0.0,
            saveS = 0.0,
        )
}
