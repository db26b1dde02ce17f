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

/** Who this follower is, and the limits that it keeps to. */
class ForwarderSettings(
    val member: String,
    val processIncarnation: String,
    val workers: WorkerTiming,
    /** How many controllers may forward to one leader. */
    val peerCount: Int,
    /** As many as workers may be connected. */
    val maxWaitingHeartbeats: Int,
)

/** Redirects workers that this follower can't answer. */
fun interface WorkerRedirector {
    /** Answers [call] with where to go to. */
    fun redirect(call: Long)
}

/**
 * A follower's side of heartbeat forwarding. It decides nothing: while it holds a grant of the
 * leader, it answers workers under the leader's fencing token, forwards their heartbeats in batches
 * and delivers commands that the leader has left for them. Starts never go this way.
 *
 * A grant is limited in time, counted from when it was requested, so a follower that is cut off,
 * rejected or frozen stops by itself; one that was restarted is another process and has none. It
 * allows lease renewals, but each single one only on the machine's own heartbeat: see
 * [LeaseRenewals].
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
    /** The leader that batches go to, and its token; null while none is known, or while leading. */
    private var leader: String? = null
    private var token: FencingToken? = null
    private val grant = LeaderGrant(context, cancellations)
    private val waiting = WaitingHeartbeats(settings.maxWaitingHeartbeats)
    private val pending = PendingHeartbeats()
    private val sender = BatchSender(context, storedBatchClient)

    /** A batch was sent and not answered yet. */
    private var isBatchInFlight = false
    private var lastBatchSentAt = Micros.LONG_AGO
    private var lastBatchFailedAt = Micros.LONG_AGO

    /** Something is pending that the leader should get soon. */
    private var hasUrgentHeartbeats = false
    private var lastBatchNumber = 0L
    private var nextSilentRemovalAt = Micros.ZERO
    private val directBatchSpacing = BATCH_SPACING_PER_PEER * settings.peerCount.toDouble()

    /**
     * Answers a worker's heartbeat, or keeps it until there is a grant; false if it is not for this
     * controller to answer.
     */
    fun handleHeartbeat(call: Long, heartbeat: WorkerHeartbeat, body: ByteArray): Boolean {
        updateLeader()
        if (grant.mode == ForwardingMode.DISABLED) return false
        val currentToken = token
        val view = grant.cancellationView
        if (currentToken == null || view == null || !grant.isValid)
            return waitForGrant(call, heartbeat, body)
        if (FencingToken(heartbeat.token) > currentToken) {
            // Another controller leads: nothing more is answered under this token.
            grant.revoke()
            return false
        }
        answerUnderGrant(call, heartbeat, body, view)
        return true
    }

    /** A grant comes within milliseconds; redirected, all workers would come back later. */
    private fun waitForGrant(call: Long, heartbeat: WorkerHeartbeat, body: ByteArray): Boolean {
        val failedRecently = context.now - lastBatchFailedAt <= RECENT_FAILURE_WINDOW
        if (token == null || failedRecently || waiting.isFull) return false
        waiting.add(WaitingHeartbeat(call, heartbeat, body, context.now))
        return true
    }

    /** Starts anew with another leader. */
    private fun updateLeader() {
        val follower = leadership.role as? Role.Follower
        val leaderMember = follower?.leader?.takeIf { it != settings.member }
        val newToken = if (leaderMember == null) null else follower.token
        if (newToken == token) return
        // Between two leaders the old grant stays valid until it expires or a new one is known.
        if (newToken == null && follower != null) return
        token = newToken
        leader = if (newToken == null) null else leaderMember
        grant.reset()
        lastBatchFailedAt = Micros.LONG_AGO
        lastBatchSentAt = Micros.LONG_AGO
        sender.resetToDirect()
        // A batch in flight is for another leader; its response is ignored.
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
        if (pending.addAnswered(machine, heartbeat, body, token, isRenewed))
            hasUrgentHeartbeats = true
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
        if (hasUrgentHeartbeats && context.now - lastBatchSentAt >= batchSpacing()) sendBatch()
    }

    /** Rejects or redirects a worker that is not to stay here; false if it is. */
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

    /** Sends the next batch when it is due, and redirects workers that waited too long. */
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
        if (sinceLastBatch >= period || (hasUrgentHeartbeats && sinceLastBatch >= batchSpacing()))
            sendBatch()
    }

    private fun batchSpacing() = if (sender.usesStore) BATCH_PERIOD else directBatchSpacing

    /** Forgets machines that send their heartbeats elsewhere now, or nowhere. */
    private fun removeSilentMachines() {
        if (context.now < nextSilentRemovalAt || isBatchInFlight) return
        nextSilentRemovalAt = context.now + SILENT_REMOVAL_PERIOD
        val maxSilence =
            (settings.workers.heartbeatPeriodS * MAX_SILENT_HEARTBEAT_PERIODS).seconds +
                SILENT_REMOVAL_PERIOD
        pending.removeSilentMachines(context.now - maxSilence)
    }

    /** Forwards what is pending, and requests a new grant. */
    private fun sendBatch() {
        val leaderMember = leader ?: return
        val currentToken = token ?: return
        if (isBatchInFlight) return
        val content = pending.takeBatch(sender.maxHeartbeatBytes, sender.maxUnchangedHeartbeats)
        val isComplete = pending.isEmpty
        hasUrgentHeartbeats = !isComplete
        val batch =
            HeartbeatBatch(
                member = settings.member,
                processIncarnation = settings.processIncarnation,
                number = ++lastBatchNumber,
                token = currentToken.value,
                // Heartbeats that are left out were answered too: the leader may not count on all.
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

    /** Every answered heartbeat must reach the leader before a batch may count as complete. */
    private fun handleLostBatch(content: BatchContent) {
        lastBatchFailedAt = context.now
        pending.putBack(content)
    }

    private fun handleResponse(response: HeartbeatBatchResponse, requestedAt: Micros) {
        grant.applyResponse(leader, response, requestedAt)
        for (number in response.unknownNumbers) if (pending.resend(number))
            hasUrgentHeartbeats = true
        for (commands in response.undelivered) pending[commands.machine]?.undeliveredCommands =
            commands
        for (job in response.cancelledJobs) {
            if (JobId(job) !in cancellations) cancellations.observeStored(JobId(job))
        }
        for (machine in response.rejectedMachines) {
            // Where only renewal is withheld, the heartbeats go on: they may show that it is
            // allowed.
            val isOnlyWithheld = grant.cancellationView?.mustStopTasksOn(MachineId(machine)) == true
            if (!isOnlyWithheld) pending[machine]?.isRejected = true
        }
        for (waitingHeartbeat in waiting.takeAll()) {
            if (
                !handleHeartbeat(
                    waitingHeartbeat.call,
                    waitingHeartbeat.heartbeat,
                    waitingHeartbeat.body,
                )
            )
                redirector.redirect(waitingHeartbeat.call)
        }
    }

    private companion object {
        /** Between two batches of a follower, for each that there may be: the leader takes all. */
        val BATCH_SPACING_PER_PEER = 50.milliseconds
        val BATCH_PERIOD = 1.seconds

        /**
         * In place of [BATCH_PERIOD] for the time of [RECENT_FAILURE_WINDOW] after a batch was
         * lost.
         */
        val FAILED_BATCH_RETRY_PERIOD = 300.milliseconds
        val RECENT_FAILURE_WINDOW = 2.seconds
        val MAX_GRANT_WAIT = 1.seconds
        const val MAX_SILENT_HEARTBEAT_PERIODS = 3.0
        val SILENT_REMOVAL_PERIOD = 5.seconds
    }
}
