package wardmux.forwarding

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.fleet.Fleet
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalDecision
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.peers.Cancellations
import wardmux.worker.Redirect
import wardmux.worker.WorkerHeartbeat

/**
 * A follower's part in taking reports. It decides nothing: it answers workers under the leader's
 * token while it holds a grant of that leader, hands on what they say, and tells them what the
 * leader has left for them. Starts never go this way.
 *
 * A grant is limited in time, counted from when it was asked for, so a relay that is cut off,
 * refused or frozen stops by itself; one that was restarted is another process and has none. It
 * allows to renew leases, but each single one by the machine's report only: see [LeaseRenewals].
 */
class HeartbeatForwarder(
    private val context: CoreContext,
    private val leadership: LeaderElection,
    private val member: String,
    private val boot: String,
    private val workers: WorkerTiming,
    private val cancellations: Cancellations,
    private val renewals: LeaseRenewals,
    storeRelayClient: StoredBatchClient,
    peers: Int,
    /** As many as workers may be connected. */
    private val mostWaitingCalls: Int,
    /** The leader of this token has said lately that it wants relays. */
    private val wantedBy: (FencingToken) -> Boolean,
    /** For a worker that this relay can't answer: redirects it. */
    private val redirect: (call: Long) -> Unit,
) {
    /** A call that waits for the grant that is being asked for. */
    private class WaitingCall(
        val call: Long,
        val report: WorkerHeartbeat,
        val body: ByteArray,
        val at: Micros,
    )

    private val log = logger<HeartbeatForwarder>()

    /** The leader that is asked, and its token; null while none is known, or while leading. */
    private var leader: String? = null
    private var token: FencingToken? = null
    private var grantedUntil = Micros.LONG_AGO

    /** What the leader has told with the grant of what is cancelled; null before the first. */
    private var knowledge: GrantedCancellationView? = null

    /** Null until the leader has said whether it wants relays. */
    private var wanted: Boolean? = null
    private var echo = 0L
    private var echoAt = Micros.ZERO
    private var busy = false
    private var sentAt = Micros.LONG_AGO
    private var failedAt = Micros.LONG_AGO
    private var urgent = false
    private val waitingCalls = ArrayDeque<WaitingCall>()
    private var shedLeft = 0
    private var shedTo: String? = null
    private var redirects = false
    private var removeSilentAt = Micros.ZERO

    private val spacing = SPACING_EACH * peers.toDouble()

    private var batches = 0L
    private val pending = PendingHeartbeats()
    private val sender = BatchSender(context, storeRelayClient)

    private val granted: Boolean
        get() = token != null && context.now < grantedUntil

    /** False if this report is not for this controller to answer. */
    fun handleHeartbeat(call: Long, report: WorkerHeartbeat, body: ByteArray): Boolean {
        followLeader()
        if (wanted == false) return false
        val current = token
        val granting = knowledge
        if (current == null || granting == null || !granted) return waitForGrant(call, report, body)
        if (FencingToken(report.token) > current) {
            // Another leads: nothing more is answered under this token.
            grantedUntil = Micros.LONG_AGO
            return false
        }
        answerReport(call, report, body, granting)
        return true
    }

    /** A grant is a matter of milliseconds; sent elsewhere, all would come back later. */
    private fun waitForGrant(call: Long, report: WorkerHeartbeat, body: ByteArray): Boolean {
        val failedLately = context.now - failedAt <= FAILED_RECENTLY
        if (token == null || failedLately || waitingCalls.size >= mostWaitingCalls) return false
        waitingCalls.addLast(WaitingCall(call, report, body, context.now))
        return true
    }

    /** Follows the leader: another one is asked for a grant anew. */
    private fun followLeader() {
        val follower = leadership.role as? Role.Follower
        val name = follower?.leader?.takeIf { it != member }
        val theirs = if (name == null) null else follower.token
        if (theirs == token) return
        // Between two leaders the old grant goes on until it is over, or a new leader is known.
        if (theirs == null && follower != null) return
        token = theirs
        leader = if (theirs == null) null else name
        grantedUntil = Micros.LONG_AGO
        knowledge = null
        wanted = null
        echo = 0
        failedAt = Micros.LONG_AGO
        sentAt = Micros.LONG_AGO
        sender.reset()
        // What is still under way was for another leader; nobody waits for its answer.
        busy = false
        shedLeft = 0
        redirects = false
        pending.startOver()
    }

    private fun answerReport(
        call: Long,
        report: WorkerHeartbeat,
        body: ByteArray,
        granting: GrantedCancellationView,
    ) {
        val machine = pending.getOrAdd(report.machine)
        machine.lastHeartbeatAt = context.now
        if (sendElsewhere(call, machine)) return
        val decision = renewals.decide(report, granting)
        val renewed = decision is RenewalDecision.Renew
        if (pending.add(machine, report, body, token, renewed)) urgent = true
        when (decision) {
            is RenewalDecision.Withhold -> context.answerBytes(call, HttpStatus.OK, decision.answer)
            is RenewalDecision.Renew -> {
                val mail = machine.mail?.takeIf { it.incarnation == report.incarnation }
                machine.mail = null
                val answer = decision.renewal.answer(mail?.orders.orEmpty())
                context.answerBytes(call, HttpStatus.OK, answer)
            }
        }
        if (urgent && context.now - sentAt >= pause()) sendBatch()
    }

    /** Answers a worker that is not to stay here; false if it is. */
    private fun sendElsewhere(call: Long, machine: ForwardedMachine): Boolean {
        val target = shedTo
        when {
            machine.refused -> context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
            shedLeft > 0 && target != null -> {
                shedLeft--
                val redirect = Redirect(target).encode()
                context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, redirect)
            }
            redirects && context.now - machine.redirectedAt >= Fleet.sendOnPause(workers) -> {
                machine.redirectedAt = context.now
                context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
            }
            else -> return false
        }
        return true
    }

    /** Sends the next batch when it is due, and gives up calls that waited too long. */
    fun tick() {
        followLeader()
        val late = context.now - LONGEST_GRANT_WAIT
        while (waitingCalls.isNotEmpty() && waitingCalls.first().at < late) redirect(
            waitingCalls.removeFirst().call
        )
        removeSilent()
        val current = token ?: return
        if (wanted == false) {
            if (!wantedBy(current)) return
            wanted = null
        }
        val longest = if (context.now - failedAt < FAILED_RECENTLY) RETRY else PERIOD
        val since = context.now - sentAt
        if (since >= longest || (urgent && since >= pause())) sendBatch()
    }

    private fun pause() = if (sender.isThroughStore) PERIOD else spacing

    /**
     * Forgets machines that report elsewhere, or no more; not one of which there is more to tell.
     */
    private fun removeSilent() {
        if (context.now < removeSilentAt || busy) return
        removeSilentAt = context.now + REMOVAL_PERIOD
        val old = context.now - (workers.heartbeatPeriodS * KEPT_REPORTS).seconds - REMOVAL_PERIOD
        pending.removeSilent(old)
    }

    /** Hands on what was heard, and asks to go on. */
    private fun sendBatch() {
        val name = leader ?: return
        val current = token ?: return
        if (busy) return
        val content = pending.takeBatch(sender.maxReportBytes, sender.maxSigns)
        val complete = pending.isEmpty
        urgent = !complete
        // What is left out here was answered too, so the leader may not take this for all.
        val known = if (complete) echo else 0
        val since = (context.now - echoAt).value
        val number = ++batches
        val reports = content.reports
        val signs = content.signs
        val batch =
            HeartbeatBatch(member, boot, number, current.value, known, since, reports, signs)
        send(name, current, batch, content)
    }

    private fun send(
        name: String,
        current: FencingToken,
        batch: HeartbeatBatch,
        content: BatchContent,
    ) {
        busy = true
        sentAt = context.now
        val askedAt = context.now
        sender.send(name, batch) { answer ->
            if (token == current) {
                busy = false
                if (answer == null || answer.token != current.value) batchLost(content)
                else accept(answer, askedAt)
            }
        }
    }

    private fun batchLost(content: BatchContent) {
        failedAt = context.now
        // All that was answered is told before the leader may take a batch for complete.
        pending.putBack(content)
    }

    private fun accept(answer: HeartbeatBatchResponse, askedAt: Micros) {
        echo = answer.clock
        echoAt = context.now
        if (wanted != answer.wanted) log.info("relay of {}: {}", leader, answer.wanted)
        wanted = answer.wanted
        val length = Micros(answer.grant) * (1 - MAX_CLOCK_DRIFT)
        grantedUntil = if (answer.wanted) askedAt + length else Micros.LONG_AGO
        for (number in answer.unknown) if (pending.resend(number)) urgent = true
        for (mail in answer.mail) pending[mail.machine]?.mail = mail
        for (job in answer.cancelledJobs) {
            if (JobId(job) !in cancellations) cancellations.learnStored(JobId(job))
        }
        val granting =
            GrantedCancellationView(FencingToken(answer.token), answer, grantedUntil, cancellations)
        knowledge = granting
        for (machine in answer.refuse) {
            // One that only may not be renewed is heard on: its reports may prove that it may be.
            if (!granting.names(MachineId(machine))) pending[machine]?.refused = true
        }
        shedLeft = answer.shed
        shedTo = answer.shedTo
        redirects = answer.sendOn
        answerWaiting()
    }

    private fun answerWaiting() {
        val all = waitingCalls.toList()
        waitingCalls.clear()
        for (one in all) if (!handleHeartbeat(one.call, one.report, one.body)) redirect(one.call)
    }

    private companion object {
        /** Between two batches of one relay, for each that there may be: the leader takes all. */
        val SPACING_EACH = 50.milliseconds
        val PERIOD = 1.seconds
        val RETRY = 300.milliseconds
        val FAILED_RECENTLY = 2.seconds
        val LONGEST_GRANT_WAIT = 1.seconds
        const val KEPT_REPORTS = 3.0
        val REMOVAL_PERIOD = 5.seconds
    }
}
