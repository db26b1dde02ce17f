package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.peers.CancellationTracker

/** States of jobs that are over. They never change, so users are answered from memory. */
class FinalJobStates(
    private val cancellations: CancellationTracker,
    private val openVersions: OpenJobVersions,
) {
    private val states = Object2ObjectLinkedOpenHashMap<String, JobState>()

    /** The final state of [job]; null if it is open, or not known here. */
    operator fun get(job: JobId): JobState? = states[job.value]

    /** Keeps [state] if it is final, before its user is told of it. */
    fun record(job: JobId, state: JobState) {
        if (state == JobState.ACCEPTED) return
        if (state == JobState.CANCELLED) cancellations.recordAcknowledged(job)
        openVersions.remove(job)
        states.putAndMoveToLast(job.value, state)
        if (states.size > MAX_JOBS) states.removeFirst()
    }

    private companion object {
        const val MAX_JOBS = 20_000
    }
}
