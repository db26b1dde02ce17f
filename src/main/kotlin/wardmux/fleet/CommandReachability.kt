package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Whether direct commands reach any machine at all. */
class CommandReachability(private val context: CoreContext) {
    /** Machines that did not answer a command, and since when; empty once any does. */
    private val unreachedSince = HashMap<Machine, Micros>()

    /** A machine answered a command. */
    fun recordResponse() = unreachedSince.clear()

    /** [machine] did not answer a command. */
    fun recordNoResponse(machine: Machine) {
        unreachedSince.putIfAbsent(machine, context.now)
    }

    /**
     * Whether commands have reached no machine for a while, although several of those that were
     * tried have sent a heartbeat since, through forwarders then. Another controller may reach
     * them.
     */
    val isCutOff: Boolean
        get() =
            unreachedSince.size >= MIN_UNREACHED_MACHINES &&
                unreachedSince.values.any { context.now - it > MIN_UNREACHED_TIME } &&
                unreachedSince.count { (machine, at) -> machine.isAliveSince(at) } >=
                    MIN_UNREACHED_MACHINES

    private fun Machine.isAliveSince(at: Micros) = !isDecommissioned && (lastHeartbeatAt ?: at) > at

    private companion object {
        const val MIN_UNREACHED_MACHINES = 6
        val MIN_UNREACHED_TIME = 3.seconds
    }
}
