package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Whether direct commands reach any machine at all. */
class CommandReachability(private val context: CoreContext) {
    /** Machines that did not answer a command, and since when; empty once any does. */
    private val unansweredSince = HashMap<Machine, Micros>()

    /** A machine answered a command. */
    fun recordResponse() = unansweredSince.clear()

    /** [machine] did not answer a command. */
    fun recordNoResponse(machine: Machine) {
        unansweredSince.putIfAbsent(machine, context.now)
    }

    /**
     * Whether commands have reached no machine for a while, although several of those that were
     * tried have sent a heartbeat since, through forwarders then. Another controller may reach
     * them.
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
