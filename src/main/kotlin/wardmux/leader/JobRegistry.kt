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

/** Adds the jobs that are found in the key-value store to the cluster's state. */
class JobRegistry(private val cluster: ClusterState, private val pageSize: Int) {
    /** Adds the job of [record]; null if it is known already or its record holds no spec. */
    fun add(record: JobRecord, version: KeyVersion): Job? {
        val spec = record.spec ?: return null
        if (spec.jobId in cluster.jobs) return null
        val job = Job(spec, version, Micros(record.acceptedAt), pageSize)
        cluster.jobs[spec.jobId] = job
        cluster.markChanged()
        return job
    }

    /**
     * The job [id], or a placeholder for it: only pages are left of a job that is done, and they
     * are removed like those of any other job.
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
