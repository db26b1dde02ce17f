package wardmux.app

import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.leader.ControllerServices
import wardmux.leader.JobCompletionListener
import wardmux.leader.LeaderTerm
import wardmux.model.FencingToken
import wardmux.model.seconds

/** Has a controller stand for election, and holds its term while it leads. */
class CurrentTerm(
    private val services: ControllerServices,
    private val completionListener: JobCompletionListener,
) : LeaderElection.Listener {
    /** The election that this controller takes part in. */
    val election =
        LeaderElection(
            services.context,
            services.store,
            services.platform.member,
            services.processIncarnation,
            leaseDuration = services.operators.leaderLeaseS.seconds,
            listener = this,
        )

    /** The term that this controller leads; null while it follows. */
    var term: LeaderTerm? = null
        private set

    /** The fencing token that this controller leads with; null while it follows. */
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
