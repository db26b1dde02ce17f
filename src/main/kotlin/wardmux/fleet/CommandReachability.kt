package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Tracks whether direct commands of this controller reach any machine. */
class CommandReachability(private val context: CoreContext) {
    /**
     * When each machine first failed to answer a command. Cleared as soon as any machine answers.
     */
    private val unansweredSince = HashMap<Machine, Micros>()

    /** Records that a machine answered a command. */
    fun recordResponse() = unansweredSince.clear()

    /** Records that [machine] did not answer a command. */
    fun recordNoResponse(machine: Machine) {
        unansweredSince.putIfAbsent(machine, context.now)
    }

    /**
     * Whether commands have reached no machine for more than [MIN_UNANSWERED_TIME], although at
     * least [MIN_UNANSWERED_MACHINES] of the machines that did not answer have sent a heartbeat
     * since. These machines are alive, and their heartbeats have probably come through forwarders,
     * so another controller may be able to reach them.
     */
    val isCutOff: Boolean
        get() =
            unansweredSince.size >= MIN_UNANSWERED_MACHINES &&
                unansweredSince.values.any { context.now - it > MIN_UNANSWERED_TIME } &&
                unansweredSince.count { (machine, at) -> machine.hasSentHeartbeatSince(at) } >=
                    MIN_UNANSWERED_MACHINES

    private fun Machine.hasSentHeartbeatSince(at: Micros) =
        !isDecommissioned && (lastHeartbeatAt ?: at) > at

    private companion object {
        const val MIN_UNANSWERED_MACHINES = 6
        val MIN_UNANSWERED_TIME = 3.seconds
    }
}
