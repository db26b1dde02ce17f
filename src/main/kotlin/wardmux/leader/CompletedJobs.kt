package wardmux.leader

import wardmux.jobs.SubmissionReader
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobPhase
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.model.PriorityClass

/** Stand-ins for jobs that are done and of which only pages are left to be removed. */
object CompletedJobs {
    /** The job [id], over and finished, with nothing known of what it was. */
    fun of(id: JobId, pageSize: Int): Job {
        val job = Job(spec(id), KeyVersion.ABSENT, Micros.ZERO, pageSize)
        job.phase = JobPhase.DONE
        return job
    }

    private fun spec(id: JobId) =
        JobSpec(
            id = id.value,
            jobClass = "",
            team = "",
            kind = JobKind.ARRAY,
            priority = PriorityClass.IDLE,
            tasks = SubmissionReader.MAX_TASKS,
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
