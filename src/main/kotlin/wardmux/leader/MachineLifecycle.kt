package wardmux.leader

import wardmux.cloud.MachineDecommissioning
import wardmux.drain.DrainTerm
import wardmux.election.LeaderElection
import wardmux.fleet.MachineDecommissioner
import wardmux.model.Machine
import wardmux.scheduling.PlacementStore

/** The operations on machines that provisioning and drains may use within a leader's term. */
class MachineLifecycle(
    private val status: TermStatus,
    private val decommissioner: MachineDecommissioner,
    private val placementStore: PlacementStore,
    private val leadership: LeaderElection,
) : DrainTerm, MachineDecommissioning {
    override val mayDecide: Boolean
        get() = status.mayDecide

    override fun decommission(machine: Machine, reason: String) =
        decommissioner.decommission(machine, reason)

    override fun dropRecord(machine: Machine) = placementStore.dropDecommissionRecord(machine)

    override fun fenced() = leadership.fenced()
}
