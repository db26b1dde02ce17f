package wardmux.leader

import wardmux.election.LeaderElection
import wardmux.lease.LeaderCancellationView

/** The status of a leader term: loading the stored state, making decisions, or ended. */
class TermStatus(
    private val leadership: LeaderElection,
    private val cancellationView: LeaderCancellationView,
) {
    /** Whether the term has ended, so that the controller no longer leads in it. */
    var isEnded = false
        private set

    /** Whether the stored state is known. It is not while the leader loads it again. */
    val isLoaded: Boolean
        get() = cancellationView.isLoaded

    /**
     * Whether the term may make decisions and write. It may if the stored state is loaded, the term
     * has not ended, and the leader lease cannot have expired yet.
     */
    val mayDecide: Boolean
        get() = isLoaded && !isEnded && leadership.leaseIsValid

    /** Marks the stored state as known. */
    fun markLoaded() {
        cancellationView.markLoaded()
    }

    /** Marks the stored state as unknown until it is loaded again. */
    fun markStale() {
        cancellationView.markStale()
    }

    /** Ends the term permanently. */
    fun end() {
        isEnded = true
    }
}
