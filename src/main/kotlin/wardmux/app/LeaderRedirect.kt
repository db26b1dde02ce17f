package wardmux.app

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.election.LeaderElection
import wardmux.worker.Redirect

/** Redirects workers to the leader if this follower can't answer their heartbeats. */
class LeaderRedirect(private val context: CoreContext, private val election: LeaderElection) {
    /** Answers the request [requestId] with 421. The body names the leader if it is known. */
    fun redirect(requestId: Long) {
        val leader =
            election.knownLeader ?: return context.answer(requestId, HttpStatus.MISDIRECTED_REQUEST)
        context.answerBytes(requestId, HttpStatus.MISDIRECTED_REQUEST, Redirect(leader).encode())
    }
}
