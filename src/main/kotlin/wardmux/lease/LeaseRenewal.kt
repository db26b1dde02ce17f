package wardmux.lease

import wardmux.model.FencingToken
import wardmux.worker.WorkerCommand

/** The reason why the response to a heartbeat does not renew the lease. */
enum class WithholdingReason {
    /** Users may have been told of cancellations that this controller does not know. */
    CANCELLATIONS_OUTDATED,

    /** A cancelled task may be on the machine, although the heartbeat does not list it. */
    ABSENCE_UNVERIFIED,
}

/** Whether the response to one heartbeat renews the lease of its machine. */
sealed interface RenewalDecision {
    /** The response renews the lease, as [renewal] permits. */
    class Renew(val renewal: LeaseRenewal) : RenewalDecision

    /** The response does not renew the lease. */
    class Withhold(val reason: WithholdingReason) : RenewalDecision {
        /**
         * The response to send. It carries no leader's token, so the worker ignores it and keeps
         * sending its heartbeats to this controller.
         */
        val response: ByteArray
            get() = WorkerHeartbeatResponse.IGNORED
    }
}

/**
 * The permission to renew a machine's lease in the response to one heartbeat of that machine. Only
 * [LeaseRenewals] creates it.
 */
class LeaseRenewal
internal constructor(
    val token: FencingToken,
    /** Stop commands that the response has to carry. It must not be sent without them. */
    val requiredStops: List<WorkerCommand>,
    /** The encoded response without any commands, or null if [LeaseRenewals] has not cached it. */
    private val cachedResponse: ByteArray?,
) {
    /**
     * The encoded response that renews the lease. It carries the required stops, followed by those
     * of [commands] that do not stop the same task attempts again.
     */
    fun response(commands: List<WorkerCommand>): ByteArray {
        val hasNoCommands = requiredStops.isEmpty() && commands.isEmpty()
        if (hasNoCommands && cachedResponse != null) return cachedResponse
        val stopped = requiredStops.mapTo(HashSet()) { it.taskAttempt }
        val others = commands.filter { !it.isStop || it.taskAttempt !in stopped }
        return WorkerHeartbeatResponse.renewing(this, requiredStops + others).encode()
    }
}
