package wardmux.forwarding

import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.fleet.HeartbeatHandler
import wardmux.lease.ForwardingGrant
import wardmux.lease.LeaderCancellationView
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.WorkerHeartbeat
import wardmux.worker.WorkerHeartbeatReader

/**
 * The leader's side of heartbeat forwarding: applies the batches of followers and grants them a
 * limited time in which they may answer workers.
 *
 * An instance lives for one term of the leader. The next leader has another fencing token and makes
 * no assumption about a machine until its worker has accepted that token.
 */
class ForwardingCoordinator(
    private val context: CoreContext,
    cluster: ClusterState,
    private val heartbeats: HeartbeatHandler,
    private val reader: WorkerHeartbeatReader,
    private val token: FencingToken,
    platform: PlatformConfig,
    operators: OperatorSettings,
    private val cancellationView: LeaderCancellationView,
) {
    private val workers = platform.deployment.workers
    private val grantDuration = ForwardingGrant.duration(workers)
    private val grants =
        ForwardingGrants(
            context,
            grantDuration,
            workers.leaseS.seconds * FORWARDER_RETENTION_LEASES,
        )
    private val switch = ForwardingSwitch(context, cluster, platform, operators)
    private val rebalancer =
        WorkerRebalancer(cluster, platform.member, platform.deployment.limits.sockets.workers)
    private var nextDecisionAt = Micros.LONG_AGO

    /** Whether followers answer the heartbeats of workers in addition to the leader. */
    val forwardingEnabled: Boolean
        get() = switch.isEnabled

    /** The parts of the response to one batch that concern individual machines. */
    private class MachineResponses {
        val undelivered = ArrayList<UndeliveredCommands>()
        val rejectedMachines = ArrayList<String>()
        val unknownNumbers = ArrayList<Long>()
    }

    /**
     * Applies the heartbeats of [batch], extends the grant of its sender if forwarding is enabled,
     * and returns the response.
     */
    fun handleBatch(batch: HeartbeatBatch): HeartbeatBatchResponse {
        val forwarder = grants.forwarderOf(batch)
        val sentAt = estimateSentAt(forwarder, batch)
        val responses = MachineResponses()
        applyFullHeartbeats(forwarder, batch, sentAt, responses)
        applyUnchangedHeartbeats(forwarder, batch, sentAt, responses)
        if (forwardingEnabled) grants.extend(forwarder)
        return respond(forwarder, batch, responses)
    }

    /**
     * Estimates when [batch] was sent, by this leader's clock, and records up to when [forwarder]
     * has forwarded everything. The estimate is never later than the time of sending, which matters
     * for a delayed batch. Without a valid echo of this leader's clock it is the time of receipt.
     */
    private fun estimateSentAt(forwarder: Forwarder, batch: HeartbeatBatch): Micros {
        // The echo is a former value of this leader's clock. This leader can't have sent a value
        // that lies in the future, so such a value is ignored.
        val echoed = Micros(batch.echoedClock).takeIf { batch.echoedClock > 0 && it <= context.now }
        if (echoed == null) return context.now
        forwarder.recordAllReportedUntil(echoed)
        return minOf(context.now, echoed + Micros(batch.sinceEcho.coerceAtLeast(0)))
    }

    private fun applyFullHeartbeats(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        sentAt: Micros,
        responses: MachineResponses,
    ) {
        for (full in batch.fullHeartbeats) {
            val heartbeat = reader.read(full.body) ?: continue
            forwarder.storeHeartbeat(full.number, heartbeat)
            applyHeartbeat(forwarder, heartbeat, sentAt, responses)
        }
    }

    private fun applyUnchangedHeartbeats(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        sentAt: Micros,
        responses: MachineResponses,
    ) {
        for (i in 0 until batch.unchanged.size - 1 step 2) {
            val heartbeat = forwarder.heartbeat(batch.unchanged[i])
            if (heartbeat == null) responses.unknownNumbers.add(batch.unchanged[i])
            else {
                val latest = heartbeat.copy(tick = batch.unchanged[i + 1])
                applyHeartbeat(forwarder, latest, sentAt, responses)
            }
        }
    }

    private fun applyHeartbeat(
        forwarder: Forwarder,
        heartbeat: WorkerHeartbeat,
        sentAt: Micros,
        responses: MachineResponses,
    ) {
        val commands = heartbeats.handleForwarded(heartbeat, forwarder.member, sentAt)
        if (commands == null) {
            responses.rejectedMachines.add(heartbeat.machine)
            forwarder.removeHeartbeat(heartbeat.machine)
        } else if (commands.isNotEmpty()) {
            val undelivered =
                UndeliveredCommands(heartbeat.machine, heartbeat.incarnation, commands)
            responses.undelivered.add(undelivered)
        }
    }

    private fun respond(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        responses: MachineResponses,
    ): HeartbeatBatchResponse {
        val mustHalt = cancellationView.tasksToStop()
        // If there are too many tasks to list, followers renew no lease until enough of the tasks
        // have certainly ended.
        val exceedsTaskLimit = mustHalt.sumOf { it.tasks.size } > MAX_LISTED_TASKS
        return HeartbeatBatchResponse(
            processIncarnation = batch.processIncarnation,
            number = batch.number,
            token = token.value,
            leaderClock = context.now.value,
            forwardingEnabled = forwardingEnabled,
            grantDuration = if (forwardingEnabled) grantDuration.value else 0,
            unknownNumbers = responses.unknownNumbers,
            undelivered = responses.undelivered,
            rejectedMachines = responses.rejectedMachines,
            rebalanceCount = forwarder.takeRebalanceCount(),
            rebalanceTarget = forwarder.rebalanceTarget,
            redirectsWorkers = heartbeats.isRedirecting,
            renewalAllowed = context.now < cancellationView.usableUntil && !exceedsTaskLimit,
            cancelledJobs = cancellationView.cancelledJobs(),
            mustHalt = if (exceedsTaskLimit) emptyList() else mustHalt,
        )
    }

    /**
     * The latest time at which this leader or a follower may have renewed the lease of a machine,
     * given that its last known renewal was at [renewedAt].
     */
    fun latestPossibleRenewal(renewedAt: Micros, leaseDuration: Micros): Micros =
        grants.latestPossibleRenewal(renewedAt, leaseDuration)

    /**
     * Decides once a second whether followers answer workers, and how many workers are redirected
     * to balance the controllers. [isLoaded] says whether this leader has loaded the stored state.
     */
    fun tick(isLoaded: Boolean) {
        if (context.now < nextDecisionAt) return
        nextDecisionAt = context.now + DECISION_PERIOD
        grants.removeExpired()
        switch.update(isLoaded)
        rebalancer.stop()
        if (forwardingEnabled) rebalancer.rebalance(grants.activeForwarders())
    }

    /**
     * The member to which the next worker of this controller is redirected, or null if the worker
     * is to be answered. Each non-null result counts as one redirected worker.
     */
    fun takeRedirectTarget(): String? = rebalancer.takeRedirectTarget()

    private companion object {
        /**
         * The maximum number of tasks to stop that a response lists. They take about 100 KB; a
         * cluster of thousands of machines rarely has more.
         */
        const val MAX_LISTED_TASKS = 5_000

        /**
         * How long a forwarder is kept after its grant and its last batch, in durations of a
         * worker's lease.
         */
        const val FORWARDER_RETENTION_LEASES = 3.0
        val DECISION_PERIOD = 1.seconds
    }
}
