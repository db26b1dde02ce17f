package wardmux.lease

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.MachineId
import wardmux.model.TaskAttempt
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerCommand
import wardmux.worker.WorkerHeartbeat

/**
 * Decides for each heartbeat, on the leader and on a forwarder, whether the response renews the
 * lease of the machine.
 *
 * A response may renew the lease in two cases. Either a recent view of the cancellations shows that
 * no cancelled task is on the machine, or the response itself stops the cancelled tasks. The
 * heartbeat lists the tasks on the machine, so the response can stop each one whose job is
 * cancelled. A cancelled task that the heartbeat does not list may still be started by a command in
 * flight. In that case the response does not renew the lease, so that the lease runs out before the
 * deadline of the cancellation.
 */
class LeaseRenewals(private val context: CoreContext, private val counters: RenewalCounters) {
    private val log = logger<LeaseRenewals>()

    /** The response without commands under [cachedToken], which answers most heartbeats. */
    private var cachedResponse = ByteArray(0)
    private var cachedToken: FencingToken? = null

    /**
     * Machines whose lease was last not renewed because a cancelled task may be there although the
     * heartbeat does not list it. They are remembered so that each change is logged once.
     */
    private val withheldMachines = HashSet<String>()
    private var areCancellationsOutdated = false
    private val checkedHeartbeats = CheckedHeartbeats()

    /**
     * Decides whether the response to [heartbeat] may renew the lease, based on [cancellations].
     */
    fun decide(heartbeat: WorkerHeartbeat, cancellations: CancellationView): RenewalDecision {
        if (context.now >= cancellations.usableUntil) return withholdOutdated(cancellations)
        if (areCancellationsOutdated) markCancellationsCurrent(cancellations)
        val tasksToStop = cancellations.tasksToStop(MachineId(heartbeat.machine))
        val listed = tasksToStop.count { heartbeat.lists(it) }
        if (listed < tasksToStop.size) {
            return withholdUnverified(heartbeat, tasksToStop, cancellations)
        }
        if (withheldMachines.remove(heartbeat.machine)) {
            log.info("renewal=resumed machine={} token={}", heartbeat.machine, cancellations.token)
        }
        val responseWithoutCommands = responseWithoutCommands(cancellations.token)
        val stops = requiredStops(heartbeat, tasksToStop, cancellations)
        counters.countRenewal(stops.size)
        if (tasksToStop.isNotEmpty()) logStops(heartbeat, stops, cancellations)
        return RenewalDecision.Renew(
            LeaseRenewal(cancellations.token, stops, responseWithoutCommands)
        )
    }

    private fun requiredStops(
        heartbeat: WorkerHeartbeat,
        tasksToStop: List<TaskAttempt>,
        cancellations: CancellationView,
    ): List<WorkerCommand> {
        val count = cancellations.cancellationCount
        if (
            tasksToStop.isEmpty() &&
                checkedHeartbeats.isKnownWithoutCancelledTasks(heartbeat, count)
        )
            return emptyList()
        var stops: ArrayList<WorkerCommand>? = null
        for (task in heartbeat.tasks) {
            if (task.status == TaskStatus.ENDED) continue
            if (!isCancelled(task, tasksToStop, cancellations)) continue
            val stop = WorkerCommand.stop(task.task, task.attempt, gracePeriodS = 0.0)
            stops = (stops ?: ArrayList()).also { it.add(stop) }
        }
        if (stops != null) return stops
        checkedHeartbeats.recordWithoutCancelledTasks(heartbeat, count)
        return emptyList()
    }

    private fun isCancelled(
        task: ReportedTask,
        tasksToStop: List<TaskAttempt>,
        cancellations: CancellationView,
    ): Boolean {
        if (tasksToStop.any { it.task == task.task && it.attempt == task.attempt }) return true
        val id = TaskId.parse(task.task) ?: return false
        return cancellations.isCancelled(id.job)
    }

    private fun responseWithoutCommands(token: FencingToken): ByteArray {
        if (cachedToken != token) {
            cachedToken = token
            cachedResponse = LeaseRenewal(token, emptyList(), null).response(emptyList())
            // The renewals that another leader withholds are logged again.
            withheldMachines.clear()
            checkedHeartbeats.clear()
        }
        return cachedResponse
    }

    private fun withholdOutdated(cancellations: CancellationView): RenewalDecision {
        counters.countWithheld(WithholdingReason.CANCELLATIONS_OUTDATED)
        if (!areCancellationsOutdated) {
            areCancellationsOutdated = true
            log.info("renewal=withheld reason=cancellations-outdated token={}", cancellations.token)
        }
        return RenewalDecision.Withhold(WithholdingReason.CANCELLATIONS_OUTDATED)
    }

    private fun markCancellationsCurrent(cancellations: CancellationView) {
        areCancellationsOutdated = false
        log.info("renewal=resumed reason=cancellations-current token={}", cancellations.token)
    }

    private fun withholdUnverified(
        heartbeat: WorkerHeartbeat,
        tasksToStop: List<TaskAttempt>,
        cancellations: CancellationView,
    ): RenewalDecision {
        counters.countWithheld(WithholdingReason.ABSENCE_UNVERIFIED)
        if (withheldMachines.add(heartbeat.machine)) {
            log.info(
                "renewal=withheld reason=absence-unverified machine={} token={} tasks={}",
                heartbeat.machine,
                cancellations.token,
                tasksToStop.filterNot { heartbeat.lists(it) }.map { it.task },
            )
        }
        return RenewalDecision.Withhold(WithholdingReason.ABSENCE_UNVERIFIED)
    }

    private fun logStops(
        heartbeat: WorkerHeartbeat,
        stops: List<WorkerCommand>,
        cancellations: CancellationView,
    ) {
        if (stops.isEmpty()) return
        log.info(
            "renewal=granted machine={} token={} stops={} jobs={}",
            heartbeat.machine,
            cancellations.token,
            stops.size,
            stops.mapTo(LinkedHashSet()) { it.task.substringBefore('/') },
        )
    }
}
