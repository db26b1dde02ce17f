package wardmux.drain

import wardmux.cloud.JobProvisioner
import wardmux.model.Job
import wardmux.model.MachineTypes
import wardmux.model.Placement
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility

/** Requests machines for tasks that a drain has to relocate and that fit nowhere else. */
class ReplacementCapacity(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val provisioner: JobProvisioner,
    private val types: MachineTypes,
) {
    /** Requests a machine for the first of [tasks] unless one is coming, and waits for it. */
    fun awaitCapacity(tasks: List<Placement>): DrainDecision {
        val first = tasks.first()
        requestMachine(first.job)
        return DrainDecision.Wait(
            "room for ${tasks.size} tasks, first ${first.name}, is not up yet"
        )
    }

    private fun requestMachine(job: Job) {
        if (!provisioner.isComing(job) && !isBooting(job))
            provisioner.rentOne(job, types.types.orEmpty())
    }

    private fun isBooting(job: Job) =
        cluster.machines.values.any {
            !it.isUp && !it.isDecommissioned && eligibility.couldRun(job, it.type, it.zone, it.spot)
        }
}
