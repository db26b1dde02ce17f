package wardmux.jobs

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.peers.CancellationTracker

/**
 * Cache of the states of completed and cancelled jobs. Such a state never changes, so users can be
 * answered from memory.
 */
class FinalJobStates(
    private val cancellations: CancellationTracker,
    private val openVersions: OpenJobVersions,
) {
    private val states = Object2ObjectLinkedOpenHashMap<String, JobState>()

    /** The final state of [job]; null if the job is open or its state is not cached. */
    operator fun get(job: JobId): JobState? = states[job.value]

    /**
     * Caches [state] if it is final. Must be called before the user gets an answer with this state,
     * because it also records that the user is about to be informed of a cancellation.
     */
    fun record(job: JobId, state: JobState) {
        if (state == JobState.ACCEPTED) return
        if (state == JobState.CANCELLED) cancellations.recordAcknowledged(job)
        openVersions.remove(job)
        states.putAndMoveToLast(job.value, state)
        if (states.size > MAX_JOBS) states.removeFirst()
    }

    private companion object {
        /**
         * The maximum number of cached states; the least recently recorded one is removed first.
         */
        const val MAX_JOBS = 20_000
    }
}
