package wardmux.forwarding

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.fleet.WorkerRedirects
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalDecision
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.peers.CancellationTracker
import wardmux.peers.PeerHeartbeats
import wardmux.worker.Redirect
import wardmux.worker.WorkerHeartbeat

/** The identity of this follower and the limits for its forwarding. */
class ForwarderSettings(
    val member: String,
    val processIncarnation: String,
    val workers: WorkerTiming,
    /** The number of controllers that may forward to one leader. */
    val peerCount: Int,
    /**
     * The maximum number of heartbeats that wait for a grant, equal to the maximum number of
     * connected workers.
     */
    val maxWaitingHeartbeats: Int,
)

/** Redirects workers that this follower can't answer. */
fun interface WorkerRedirector {
    /** Answers [call] with the controller to which the worker should go. */
    fun redirect(call: Long)
}

/**
 * The follower's side of heartbeat forwarding. A follower makes no scheduling decisions: while it
 * holds a grant from the leader, it answers workers under the leader's fencing token, forwards
 * their heartbeats in batches, and delivers commands that the leader has sent for them. Start
 * commands are never delivered this way.
 *
 * A grant is valid for a limited time counted from when it was requested. A follower that is
 * partitioned from the leader, rejected by it or frozen therefore stops answering on its own, and a
 * restarted follower is a new process without a grant. A grant allows this follower to renew
 * leases, but each renewal is decided on a heartbeat of the machine itself: see [LeaseRenewals].
 */
class HeartbeatForwarder(
    private val context: CoreContext,
    private val leadership: LeaderElection,
    private val peerHeartbeats: PeerHeartbeats,
    private val cancellations: CancellationTracker,
    private val renewals: LeaseRenewals,
    storedBatchClient: StoredBatchClient,
    private val settings: ForwarderSettings,
    private val redirector: WorkerRedirector,
) {
    /**
     * The leader to which batches are sent; null while no leader is known and while this controller
     * leads.
     */
    private var leader: String? = null

    /** The fencing token of [leader]; null if that is null. */
    private var token: FencingToken? = null
    private val grant = LeaderGrant(context, cancellations)
    private val waiting = WaitingHeartbeats(settings.maxWaitingHeartbeats)
    private val pending = PendingHeartbeats()
    private val sender = BatchSender(context, storedBatchClient)

    /** Whether a batch has been sent and its response is outstanding. */
    private var isBatchInFlight = false
    private var lastBatchSentAt = Micros.LONG_AGO
    private var lastBatchFailedAt = Micros.LONG_AGO

    /** Whether a heartbeat is pending that the leader should get before the next regular batch. */
    private var isBatchUrgent = false
    private var lastBatchNumber = 0L
    private var nextSilentRemovalAt = Micros.ZERO
    private val directBatchSpacing = BATCH_SPACING_PER_PEER * settings.peerCount.toDouble()

    /**
     * Answers a worker's heartbeat, or queues it until a grant arrives. Returns false if this
     * controller must not answer it, so that the caller has to redirect the worker.
     */
    fun handleHeartbeat(call: Long, heartbeat: WorkerHeartbeat, body: ByteArray): Boolean {
        updateLeader()
        if (grant.mode == ForwardingMode.DISABLED) return false
        val currentToken = token
        val view = grant.cancellationView
        if (currentToken == null || view == null || !grant.isValid)
            return waitForGrant(call, heartbeat, body)
        if (FencingToken(heartbeat.token) > currentToken) {
            // The higher token shows that another controller leads now, so no further heartbeat may
            // be answered under this one.
            grant.revoke()
            return false
        }
        answerUnderGrant(call, heartbeat, body, view)
        return true
    }

    /**
     * Queues a heartbeat until a grant arrives, which usually takes milliseconds. If the workers
     * were redirected instead, all of them would have to come back later. Returns false if the
     * heartbeat can't be queued.
     */
    private fun waitForGrant(call: Long, heartbeat: WorkerHeartbeat, body: ByteArray): Boolean {
        val failedRecently = context.now - lastBatchFailedAt <= RECENT_FAILURE_WINDOW
        if (token == null || failedRecently || waiting.isFull) return false
        waiting.add(WaitingHeartbeat(call, heartbeat, body, context.now))
        return true
    }

    /** Resets all state that depends on the leader when the leader has changed. */
    private fun updateLeader() {
        val follower = leadership.role as? Role.Follower
        val leaderMember = follower?.leader?.takeIf { it != settings.member }
        val newToken = if (leaderMember == null) null else follower.token
        if (newToken == token) return
        // While no leader is known, the old grant stays valid until it expires or a new leader is
        // known.
        if (newToken == null && follower != null) return
        token = newToken
        leader = if (newToken == null) null else leaderMember
        grant.reset()
        lastBatchFailedAt = Micros.LONG_AGO
        lastBatchSentAt = Micros.LONG_AGO
        sender.resetToDirect()
        // A batch in flight was sent to the previous leader, and its response will be ignored.
        isBatchInFlight = false
        pending.reset()
    }

    private fun answerUnderGrant(
        call: Long,
        heartbeat: WorkerHeartbeat,
        body: ByteArray,
        view: GrantedCancellationView,
    ) {
        val machine = pending.getOrAdd(heartbeat.machine)
        machine.lastHeartbeatAt = context.now
        if (rejectOrRedirect(call, machine)) return
        val decision = renewals.decide(heartbeat, view)
        val isRenewed = decision is RenewalDecision.Renew
        if (pending.addAnswered(machine, heartbeat, body, token, isRenewed)) isBatchUrgent = true
        when (decision) {
            is RenewalDecision.Withhold ->
                context.answerBytes(call, HttpStatus.OK, decision.response)
            is RenewalDecision.Renew -> {
                val undelivered =
                    machine.undeliveredCommands?.takeIf { it.incarnation == heartbeat.incarnation }
                machine.undeliveredCommands = null
                val answer = decision.renewal.response(undelivered?.commands.orEmpty())
                context.answerBytes(call, HttpStatus.OK, answer)
            }
        }
        if (isBatchUrgent && context.now - lastBatchSentAt >= batchSpacing()) sendBatch()
    }

    /**
     * Answers [call] with a rejection or a redirect if the worker should not be answered by this
     * follower. Returns false, without answering, if it should.
     */
    private fun rejectOrRedirect(call: Long, machine: ForwardedMachine): Boolean {
        if (machine.isRejected) {
            context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
            return true
        }
        val target = grant.takeRebalanceTarget()
        if (target != null) {
            val redirect = Redirect(target).encode()
            context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, redirect)
            return true
        }
        if (!grant.redirectsWorkers) return false
        if (context.now - machine.redirectedAt < WorkerRedirects.pause(settings.workers))
            return false
        machine.redirectedAt = context.now
        context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
        return true
    }

    /**
     * Sends the next batch if it is due, and redirects workers that waited too long for a grant.
     */
    fun tick() {
        updateLeader()
        val oldestAllowed = context.now - MAX_GRANT_WAIT
        while (true) redirector.redirect((waiting.takeReceivedBefore(oldestAllowed) ?: break).call)
        removeSilentMachines()
        val currentToken = token ?: return
        if (grant.mode == ForwardingMode.DISABLED) {
            if (!peerHeartbeats.isForwardingEnabledBy(currentToken)) return
            grant.resetMode()
        }
        val failedRecently = context.now - lastBatchFailedAt < RECENT_FAILURE_WINDOW
        val period = if (failedRecently) FAILED_BATCH_RETRY_PERIOD else BATCH_PERIOD
        val sinceLastBatch = context.now - lastBatchSentAt
        if (sinceLastBatch >= period || (isBatchUrgent && sinceLastBatch >= batchSpacing()))
            sendBatch()
    }

    private fun batchSpacing() = if (sender.usesStore) BATCH_PERIOD else directBatchSpacing

    /** Removes machines that no longer send their heartbeats to this follower. */
    private fun removeSilentMachines() {
        if (context.now < nextSilentRemovalAt || isBatchInFlight) return
        nextSilentRemovalAt = context.now + SILENT_REMOVAL_PERIOD
        val maxSilence =
            (settings.workers.heartbeatPeriodS * MAX_SILENT_HEARTBEAT_PERIODS).seconds +
                SILENT_REMOVAL_PERIOD
        pending.removeSilentMachines(context.now - maxSilence)
    }

    /** Sends a batch with the pending heartbeats. Every batch also requests a new grant. */
    private fun sendBatch() {
        val leaderMember = leader ?: return
        val currentToken = token ?: return
        if (isBatchInFlight) return
        val content = pending.takeBatch(sender.maxHeartbeatBytes, sender.maxUnchangedHeartbeats)
        val isComplete = pending.isEmpty
        isBatchUrgent = !isComplete
        val batch =
            HeartbeatBatch(
                member = settings.member,
                processIncarnation = settings.processIncarnation,
                number = ++lastBatchNumber,
                token = currentToken.value,
                // Heartbeats that did not fit were answered too, so a batch without them must not
                // assert that all answered heartbeats have been forwarded.
                echoedClock = if (isComplete) grant.leaderClock else 0,
                sinceEcho = grant.sinceResponse.value,
                fullHeartbeats = content.fullHeartbeats,
                unchanged = content.unchanged,
            )
        send(leaderMember, currentToken, batch, content)
    }

    private fun send(
        leaderMember: String,
        currentToken: FencingToken,
        batch: HeartbeatBatch,
        content: BatchContent,
    ) {
        isBatchInFlight = true
        lastBatchSentAt = context.now
        val requestedAt = context.now
        sender.send(leaderMember, batch) { response ->
            if (token == currentToken) {
                isBatchInFlight = false
                if (response == null || response.token != currentToken.value)
                    handleLostBatch(content)
                else handleResponse(response, requestedAt)
            }
        }
    }

    /**
     * Makes the heartbeats of a lost batch pending again, because every answered heartbeat must
     * reach the leader before a later batch may assert that it is complete.
     */
    private fun handleLostBatch(content: BatchContent) {
        lastBatchFailedAt = context.now
        pending.putBack(content)
    }

    private fun handleResponse(response: HeartbeatBatchResponse, requestedAt: Micros) {
        grant.applyResponse(leader, response, requestedAt)
        for (number in response.unknownNumbers) if (pending.resend(number)) isBatchUrgent = true
        for (commands in response.undelivered) {
            pending[commands.machine]?.undeliveredCommands = commands
        }
        for (job in response.cancelledJobs) {
            if (JobId(job) !in cancellations) cancellations.observeStored(JobId(job))
        }
        for (machine in response.rejectedMachines) {
            // If the leader only withholds the lease renewal, the machine's heartbeats are still
            // forwarded, because a later one may show that the lease can be renewed.
            val isOnlyWithheld = grant.cancellationView?.mustStopTasksOn(MachineId(machine)) == true
            if (!isOnlyWithheld) pending[machine]?.isRejected = true
        }
        for (queued in waiting.takeAll()) {
            if (!handleHeartbeat(queued.call, queued.heartbeat, queued.body))
                redirector.redirect(queued.call)
        }
    }

    private companion object {
        /**
         * The minimum time between two batches of a follower is this times the number of
         * controllers that may forward, because the leader has to handle the batches of all of
         * them.
         */
        val BATCH_SPACING_PER_PEER = 50.milliseconds
        val BATCH_PERIOD = 1.seconds

        /**
         * The time between two batches for [RECENT_FAILURE_WINDOW] after a batch was lost, in place
         * of [BATCH_PERIOD].
         */
        val FAILED_BATCH_RETRY_PERIOD = 300.milliseconds

        /**
         * How long after a lost batch the next ones are sent every [FAILED_BATCH_RETRY_PERIOD], and
         * workers are redirected instead of waiting for a grant.
         */
        val RECENT_FAILURE_WINDOW = 2.seconds

        /** How long a heartbeat waits for a grant before its worker is redirected. */
        val MAX_GRANT_WAIT = 1.seconds

        /**
         * How long a machine may be silent before it is removed, in worker heartbeat periods;
         * [SILENT_REMOVAL_PERIOD] is added to it.
         */
        const val MAX_SILENT_HEARTBEAT_PERIODS = 3.0
        val SILENT_REMOVAL_PERIOD = 5.seconds
    }
}
