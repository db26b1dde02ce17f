package wardmux.election

import wardmux.model.FencingToken
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.store.VersionCondition

/** The role of a controller among its peers. */
sealed interface Role {
    /**
     * This controller does not lead. [leader] is the last known leader and [token] the newest known
     * fencing token. Either is null if it is not known.
     */
    data class Follower(val leader: String?, val token: FencingToken?) : Role

    /** This controller leads with [token]. The leader key is bound to [lease]. */
    data class Leader(val token: FencingToken, val lease: LeaseId) : Role {
        /** The condition of every write of the leader: nothing has changed the leader key since. */
        val condition: VersionCondition
            get() = VersionCondition(LeaderElection.KEY, KeyVersion(token.value))
    }
}
