package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.seconds

/** Requests the status of machines whose heartbeat is overdue. */
class MachineProber(private val context: CoreContext, private val client: WorkerClient) {
    /**
     * Probes [machine], unless it was probed less than [MIN_PROBE_INTERVAL] ago, its endpoint is
     * not known, or too many requests to workers are open. A response counts like a heartbeat. A
     * failed probe lowers the silence after which the machine is decommissioned.
     */
    fun probe(machine: Machine) {
        if (context.now < machine.nextProbeAt || machine.endpoint.isEmpty()) return
        if (!client.hasCapacity) return
        machine.nextProbeAt = context.now + MIN_PROBE_INTERVAL
        client.requestStatus(machine, PROBE_TIMEOUT) { machine.hasProbeFailed = true }
    }

    private companion object {
        val PROBE_TIMEOUT = 3.seconds
        val MIN_PROBE_INTERVAL = 5.seconds
    }
}
