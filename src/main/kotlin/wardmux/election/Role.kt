package wardmux.election

import wardmux.model.FencingToken
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.store.VersionCondition

/** The part that a controller has among its peers. */
sealed interface Role {
    /** Another controller leads: the last known [leader] with its [token], or null if unknown. */
    data class Follower(val leader: String?, val token: FencingToken?) : Role

    /** This controller leads with [token]; its key is bound to [lease]. */
    data class Leader(val token: FencingToken, val lease: LeaseId) : Role {
        /** The condition of each write of the leader: its key is as it was written. */
        val condition: VersionCondition
            get() = VersionCondition(LeaderElection.KEY, KeyVersion(token.value))
    }
}
