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
 * Decides for each response to a heartbeat, of a leader or of a forwarder, whether it renews the
 * lease.
 *
 * A response that renews either rests on a recent enough view of the cancellations by which nothing
 * cancelled is on this machine, or carries the stops itself. The heartbeat lists what is on the
 * machine, so the same response stops each task of a cancelled job in it. A task that it does not
 * list may still be started by a command in flight: then the lease has to run out in time.
 */
class LeaseRenewals(private val context: CoreContext, private val counters: RenewalCounters) {
    private val log = logger<LeaseRenewals>()

    /** The response without commands under [cachedToken], which most heartbeats get. */
    private var cachedResponse = ByteArray(0)
    private var cachedToken: FencingToken? = null

    /** Machines whose lease was not renewed last time, so that each change is logged once. */
    private val withheldMachines = HashSet<String>()
    private var areCancellationsOutdated = false
    private val checkedHeartbeats = CheckedHeartbeats()

    /** Whether the response to [heartbeat] may renew the lease, by what [cancellations] knows. */
    fun decide(heartbeat: WorkerHeartbeat, cancellations: CancellationView): RenewalDecision {
        if (context.now >= cancellations.usableUntil) return withholdOutdated(cancellations)
        if (areCancellationsOutdated) logUpToDate(cancellations)
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
            // Another leader: what it withholds is logged anew.
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

    private fun logUpToDate(cancellations: CancellationView) {
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
