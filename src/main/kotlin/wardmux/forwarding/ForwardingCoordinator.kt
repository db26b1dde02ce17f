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
 * The leader's side of heartbeat forwarding: takes in the batches of followers, and grants them
 * time to answer workers. It lasts for one term: the next leader has another token, and assumes
 * nothing of a machine whose worker has not taken that.
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

    /** Whether followers answer workers too. */
    val forwardingEnabled: Boolean
        get() = switch.isEnabled

    /** What the response to one batch says of single machines. */
    private class MachineResponses {
        val undelivered = ArrayList<UndeliveredCommands>()
        val rejectedMachines = ArrayList<String>()
        val unknownNumbers = ArrayList<Long>()
    }

    /** Applies the heartbeats of [batch], and grants its sender more time if that is wanted. */
    fun handleBatch(batch: HeartbeatBatch): HeartbeatBatchResponse {
        val forwarder = grants.forwarderOf(batch)
        val sentAt = estimateSentAt(forwarder, batch)
        val responses = MachineResponses()
        applyFullHeartbeats(forwarder, batch, sentAt, responses)
        applyUnchangedHeartbeats(forwarder, batch, sentAt, responses)
        if (forwardingEnabled) grants.extend(forwarder)
        return respond(forwarder, batch, responses)
    }

    /** When [batch] was sent, or somewhat earlier: it may have been delayed on its way. */
    private fun estimateSentAt(forwarder: Forwarder, batch: HeartbeatBatch): Micros {
        // It is this leader's own clock; one that it can't have sent is ignored.
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
        // Too many to name: then no lease may be renewed before some have surely ended.
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
     * The latest that the lease of a machine last known to be renewed at [renewedAt] may have been
     * renewed, by this leader or by a follower.
     */
    fun latestPossibleRenewal(renewedAt: Micros, leaseDuration: Micros): Micros =
        grants.latestPossibleRenewal(renewedAt, leaseDuration)

    /**
     * Decides once a second whether followers answer workers, and how workers are rebalanced;
     * [isLoaded] says whether this leader knows what is stored.
     */
    fun tick(isLoaded: Boolean) {
        if (context.now < nextDecisionAt) return
        nextDecisionAt = context.now + DECISION_PERIOD
        grants.removeExpired()
        switch.update(isLoaded)
        rebalancer.stop()
        if (forwardingEnabled) rebalancer.rebalance(grants.activeForwarders())
    }

    /** The member to redirect a worker of this controller to, or null to answer it. */
    fun takeRedirectTarget(): String? = rebalancer.takeRedirectTarget()

    private companion object {
        /** Some 100 KB in a response; a fleet of thousands of machines rarely has so many. */
        const val MAX_LISTED_TASKS = 5_000

        /** In leases of workers. */
        const val FORWARDER_RETENTION_LEASES = 3.0
        val DECISION_PERIOD = 1.seconds
    }
}
