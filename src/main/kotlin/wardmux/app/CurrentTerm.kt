package wardmux.app

import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.leader.ControllerServices
import wardmux.leader.JobCompletionListener
import wardmux.leader.LeaderTerm
import wardmux.model.FencingToken
import wardmux.model.seconds

/** Takes part in the leader election, and holds the term of this controller while it leads. */
class CurrentTerm(
    private val services: ControllerServices,
    private val completionListener: JobCompletionListener,
) : LeaderElection.Listener {
    /** The election in which this controller is a candidate. */
    val election =
        LeaderElection(
            services.context,
            services.store,
            services.platform.member,
            services.processIncarnation,
            leaseDuration = services.operators.leaderLeaseS.seconds,
            listener = this,
        )

    /** The term in which this controller leads; null while it is a follower. */
    var term: LeaderTerm? = null
        private set

    /** The fencing token of this controller as leader; null while it is a follower. */
    val token: FencingToken?
        get() = (election.role as? Role.Leader)?.token

    override fun elected(role: Role.Leader) {
        term = LeaderTerm(services, election, role, completionListener)
    }

    override fun deposed() {
        term?.end()
        term = null
    }
}
