package wardmux.scheduling

import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobSpec
import wardmux.model.Machine

/**
 * Orphans are tasks that machines report and that no record names. They count against their teams'
 * quotas until they are proven to be gone.
 */
internal class Orphans(private val quotaUsage: QuotaUsage) {
    /** The number of orphans of each job on all machines. */
    private val counts = HashMap<JobId, Int>()

    /**
     * Replaces the orphans of [machine] by [orphans], given as the jobs of these tasks. Returns
     * false if it has none and had none before.
     */
    fun set(machine: Machine, orphans: List<JobSpec>): Boolean {
        if (machine.orphans.isEmpty() && orphans.isEmpty()) return false
        for (spec in machine.orphans) adjust(spec, -1)
        machine.orphans = orphans
        for (spec in orphans) adjust(spec, 1)
        return true
    }

    private fun adjust(spec: JobSpec, tasks: Int) {
        quotaUsage.adjust(spec, tasks)
        counts.merge(spec.jobId, tasks) { a, b -> (a + b).takeIf { it != 0 } }
    }

    /** True if any machine has an orphan of [job]. */
    fun has(job: Job) = job.id in counts
}
