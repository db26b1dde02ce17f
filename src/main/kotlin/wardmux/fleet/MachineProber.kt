package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.model.Machine
import wardmux.model.seconds

/** Asks machines whose heartbeat is overdue for their state. */
class MachineProber(private val context: CoreContext, private val client: WorkerClient) {
    /**
     * Probes [machine], unless that was done a short time ago. A response is a sign of life like a
     * heartbeat; without one the machine is decommissioned sooner.
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
