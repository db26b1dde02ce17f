package wardmux.drain

import wardmux.cloud.JobProvisioner
import wardmux.model.Job
import wardmux.model.MachineTypes
import wardmux.model.Placement
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility

/** Rents machines for evicted tasks that fit on no existing machine. */
class ReplacementCapacity(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val provisioner: JobProvisioner,
    private val types: MachineTypes,
) {
    /**
     * Decides to wait for capacity for [tasks]. Requests a machine for the first of them unless one
     * that suits it is already requested or booting.
     */
    fun awaitCapacity(tasks: List<Placement>): DrainDecision {
        val first = tasks.first()
        requestMachine(first.job)
        return DrainDecision.Wait(
            "capacity for ${tasks.size} tasks, first ${first.name}, to be rented and up"
        )
    }

    private fun requestMachine(job: Job) {
        if (!provisioner.isBeingRented(job) && !isBooting(job))
            provisioner.rentOneMachine(job, types.types.orEmpty())
    }

    private fun isBooting(job: Job) =
        cluster.machines.values.any {
            !it.isUp && it.isExpectedToServe && eligibility.couldRun(job, it.type, it.zone, it.spot)
        }
}
