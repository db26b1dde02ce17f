package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** Detects urgent jobs that wait for capacity on machines of a drain: they have precedence. */
class UrgentWork(private val context: CoreContext, private val cluster: ClusterState) {
    /** True if an urgent job waits that one of [machines] could take. */
    fun isWaitingFor(machines: List<Machine>): Boolean = waitingFor(machines) != null

    /** Why a drain must leave [machines] to urgent work, for the operators; null if it need not. */
    fun reasonToYield(machines: List<Machine>): String? =
        waitingFor(machines)?.let {
            "urgent ${it.id} of ${it.spec.team} waits for room and goes first"
        }

    private fun waitingFor(machines: List<Machine>): Job? =
        cluster.jobs.values.firstOrNull { job ->
            val blockedSince = job.blockedSince
            job.spec.priority <= PriorityClass.HIGH &&
                job.waiting > 0 &&
                !job.isFailing &&
                blockedSince != null &&
                context.now - blockedSince > MIN_URGENT_WAIT &&
                machines.any { couldTake(it, job) }
        }

    private fun couldTake(machine: Machine, job: Job): Boolean {
        val spec = job.spec
        return !machine.isDecommissioned &&
            machine.type.allowedFor(spec) &&
            (spec.spot || !machine.spot) &&
            (spec.zone == null || spec.zone == machine.zone)
    }

    private companion object {
        val MIN_URGENT_WAIT = 1.seconds
    }
}
