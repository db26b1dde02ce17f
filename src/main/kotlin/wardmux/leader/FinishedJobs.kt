package wardmux.leader

import wardmux.jobs.SubmissionReader
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.Shape
import wardmux.model.Stamp
import wardmux.model.Urgency

/** Stand-ins for jobs that are done and of which only pages are left to be removed. */
object FinishedJobs {
    /** The job [id], over and finished, with nothing known of what it was. */
    fun of(id: JobId, pageSize: Int): Job {
        val job = Job(spec(id), Stamp.ABSENT, Micros.ZERO, pageSize)
        job.over = true
        job.finished = true
        return job
    }

    private fun spec(id: JobId) =
        JobSpec(
            id = id.value,
            jobClass = "",
            team = "",
            shape = Shape.BATCH,
            urgency = Urgency.IDLE,
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
