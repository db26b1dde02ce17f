package wardmux.app

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.election.LeaderElection
import wardmux.worker.Redirect

/** Redirects workers whose heartbeats a follower can't answer to the leader. */
class LeaderRedirect(private val context: CoreContext, private val election: LeaderElection) {
    /** Answers [call] with the leader to go to, or with none if that is not known. */
    fun redirect(call: Long) {
        val leader =
            election.knownLeader ?: return context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
        context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, Redirect(leader).encode())
    }
}
