package wardmux.leader

import wardmux.election.LeaderElection
import wardmux.lease.LeaderCancellationView

/** How far a leader term is: loading what is stored, deciding, or ended. */
class TermStatus(
    private val leadership: LeaderElection,
    private val cancellationView: LeaderCancellationView,
) {
    /** The controller no longer leads in this term. */
    var isEnded = false
        private set

    /** What is stored is known; false also while it is loaded again. */
    val isLoaded: Boolean
        get() = cancellationView.isLoaded

    /** The term may decide and write: it is loaded, not ended, and sure of its lease. */
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

    /** Ends the term for good. */
    fun end() {
        isEnded = true
    }
}
