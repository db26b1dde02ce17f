package wardmux.lease

import wardmux.model.FencingToken
import wardmux.worker.WorkerCommand

/** Why the response to a heartbeat does not renew the lease. */
enum class WithholdingReason {
    /** Users may have been told of cancellations that are not known here. */
    CANCELLATIONS_OUTDATED,

    /** A cancelled task may be on the machine although the heartbeat does not list it. */
    ABSENCE_UNVERIFIED,
}

/** Whether the response to one heartbeat renews the lease of its machine. */
sealed interface RenewalDecision {
    /** It does, by the right of [renewal]. */
    class Renew(val renewal: LeaseRenewal) : RenewalDecision

    /** It does not: the worker ignores the response and stays with this controller. */
    class Withhold(val reason: WithholdingReason) : RenewalDecision {
        /** The response, under no leader's token. */
        val response: ByteArray
            get() = WorkerHeartbeatResponse.IGNORED
    }
}

/**
 * The right to renew the lease of the one machine whose heartbeat it was made for, in the response
 * to that heartbeat. Only [LeaseRenewals] makes it.
 */
class LeaseRenewal
internal constructor(
    val token: FencingToken,
    /** Stops that the response has to carry: without them it must not be sent. */
    val requiredStops: List<WorkerCommand>,
    /** The response without any commands, if [LeaseRenewals] has it at hand. */
    private val cachedResponse: ByteArray?,
) {
    /** The response that renews the lease, with [commands] after the required stops. */
    fun response(commands: List<WorkerCommand>): ByteArray {
        val hasNoCommands = requiredStops.isEmpty() && commands.isEmpty()
        if (hasNoCommands && cachedResponse != null) return cachedResponse
        val stopped = requiredStops.mapTo(HashSet()) { it.taskAttempt }
        val others = commands.filter { !it.isStop || it.taskAttempt !in stopped }
        return WorkerHeartbeatResponse.renewing(this, requiredStops + others).encode()
    }
}
