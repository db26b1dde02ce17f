package wardmux.app

import wardmux.drain.DrainLeaderLocator
import wardmux.drain.DrainService

/**
 * Locates the controller that manages drains, which is the leader: [local] while this controller
 * leads, otherwise [remote], which is null while the leader is unknown.
 */
class CurrentDrainLeader(private val currentTerm: CurrentTerm) : DrainLeaderLocator {
    override val local: DrainService?
        get() = currentTerm.term?.drains?.service

    override val remote: String?
        get() = currentTerm.election.knownLeader
}
