package wardmux.app

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.election.LeaderElection
import wardmux.worker.Redirect

/** Redirects workers whose heartbeats a follower can't answer to the leader. */
class LeaderRedirect(private val context: CoreContext, private val election: LeaderElection) {
    /** Answers [requestId] with the leader to go to, or with none if that is not known. */
    fun redirect(requestId: Long) {
        val leader =
            election.knownLeader ?: return context.answer(requestId, HttpStatus.MISDIRECTED_REQUEST)
        context.answerBytes(requestId, HttpStatus.MISDIRECTED_REQUEST, Redirect(leader).encode())
    }
}
