package wardmux.app

import wardmux.drain.DrainLeaderLocator
import wardmux.drain.DrainService

/** Finds the controller that decides on drains: this one while it leads, otherwise the leader. */
class CurrentDrainLeader(private val currentTerm: CurrentTerm) : DrainLeaderLocator {
    override val local: DrainService?
        get() = currentTerm.term?.drains?.service

    override val remote: String?
        get() = currentTerm.election.knownLeader
}
