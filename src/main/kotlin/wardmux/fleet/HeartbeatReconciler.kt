package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.lease.LeaderCancellationView
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.WorkerHeartbeat

/** Updates the leader's state of a machine from the machine's heartbeats. */
class HeartbeatReconciler(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val tasks: TaskReconciler,
    private val cancellations: LeaderCancellationView,
) {
    private val log = logger<HeartbeatReconciler>()
    private val token = cancellations.token.value

    /**
     * Updates [machine] and its placements from [heartbeat]. [forwarder] is the controller that
     * sent it on, or null if the worker sent it to the leader; [sentAt] counts as the time at which
     * the worker sent it. Returns false, without any change, if a newer heartbeat was accepted
     * before: this one was delayed, is a duplicate, or was overtaken by the response to a direct
     * command.
     */
    fun accept(
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        forwarder: String?,
        sentAt: Micros,
    ): Boolean {
        if (!isNewer(machine, heartbeat)) return false
        record(machine, heartbeat, sentAt)
        machine.forwardedBy = forwarder
        if (!cancellations.isLoaded) return true
        tasks.reconcile(machine, heartbeat)
        tasks.releaseAbsent(machine, heartbeat)
        return true
    }

    /**
     * Updates [machine] from [heartbeat], which is the response to a direct command or a probe. A
     * task that it does not list may still be on the machine: see [TaskReconciler.releaseAbsent].
     */
    fun acceptDirectResponse(machine: Machine, heartbeat: WorkerHeartbeat) {
        if (MachineId(heartbeat.machine) != machine.id || !isNewer(machine, heartbeat)) return
        record(machine, heartbeat, context.now)
        if (cancellations.isLoaded) tasks.reconcile(machine, heartbeat)
    }

    /** Updates [machine] from [heartbeat], but ignores the tasks that it lists. */
    fun recordMachineState(machine: Machine, heartbeat: WorkerHeartbeat) {
        if (isNewer(machine, heartbeat)) record(machine, heartbeat, context.now)
    }

    private fun isNewer(machine: Machine, heartbeat: WorkerHeartbeat) =
        heartbeat.incarnation > machine.incarnation ||
            (heartbeat.incarnation == machine.incarnation && heartbeat.tick > machine.tick)

    private fun record(machine: Machine, heartbeat: WorkerHeartbeat, sentAt: Micros) {
        if (heartbeat.incarnation > machine.incarnation) startIncarnation(machine, heartbeat)
        machine.recordHeartbeat(heartbeat.endpoint, heartbeat.tick)
        if (heartbeat.token == token) {
            if (!machine.hasAdoptedToken) adoptToken(machine)
            machine.recordCurrentTokenHeartbeat(sentAt)
        } else machine.recordStaleHeartbeat(context.now)
        val preemptedInS = heartbeat.preemptedInS
        if (preemptedInS != null && machine.preemptionNoticeAt == null) {
            machine.recordPreemptionNotice(context.now, context.now + preemptedInS.seconds)
            log.info(
                "machine {} will be preempted by the provider in {} s",
                machine.id,
                preemptedInS,
            )
        }
    }

    /**
     * Releases the placements of earlier incarnations, because a new incarnation of a worker starts
     * without tasks. The images on the machine are kept.
     */
    private fun startIncarnation(machine: Machine, heartbeat: WorkerHeartbeat) {
        for (placement in machine.placements.values.toList()) {
            if (placement.incarnation < heartbeat.incarnation)
                cluster.release(placement, "the worker's incarnation ended")
        }
        machine.startIncarnation(heartbeat.incarnation, context.now)
    }

    private fun adoptToken(machine: Machine) {
        log.info("machine {} is up", machine.id)
        machine.adoptToken(context.now)
        cluster.machinesWithCommands.add(machine)
        cluster.markChanged()
    }
}
