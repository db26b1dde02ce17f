package wardmux.forwarding

import org.agrona.collections.Long2ObjectHashMap
import wardmux.config.OperatorSettings
import wardmux.config.ProcessLimits
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.fleet.Fleet
import wardmux.lease.ForwardingGrant
import wardmux.lease.LeaderCancellationView
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.WorkerHeartbeat
import wardmux.worker.WorkerHeartbeatReader

/**
 * The leader's side of the relays: who may answer workers and until when, what their batches say,
 * and how the workers are spread. Nothing of it outlasts the term: a successor has another token,
 * and infers nothing of a machine that has not taken that.
 */
class ForwardingCoordinator(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val fleet: Fleet,
    private val reader: WorkerHeartbeatReader,
    private val member: String,
    private val token: FencingToken,
    private val workers: WorkerTiming,
    private val limits: ProcessLimits,
    private val operators: OperatorSettings,
    hasSiblings: Boolean,
    private val knowledge: LeaderCancellationView,
) {
    /** One process that was ever given a grant in this term. */
    private class Relayer(val member: String, val boot: String) {
        /** By this controller's clock, from when it surely answers no more unless granted anew. */
        var grantedUntil = Micros.LONG_AGO

        /** All that it answered up to then has been told. */
        var toldUntil = Micros.LONG_AGO
        var batchAt = Micros.LONG_AGO
        val reports = Long2ObjectHashMap<WorkerHeartbeat>()
        val numbers = HashMap<String, Long>()
        var shed = 0
        var shedTo: String? = null
    }

    private val log = logger<ForwardingCoordinator>()
    private val electedAt = context.now
    private val relayers = ArrayList<Relayer>()

    /** How long a relay may answer without hearing from this leader. */
    private val grant = ForwardingGrant.duration(workers)
    private var decideAt = Micros.LONG_AGO
    private var shed = 0
    private var shedTo: String? = null

    /**
     * Followers take reports too. At first they do, so that a new leader is not run over by all
     * workers at once; they go on if it is more than this controller can carry.
     */
    var wanted = hasSiblings
        private set

    private val alone = !hasSiblings
    private val sockets = limits.sockets

    /** It was decided whether they go on. */
    private var settled = false

    /** What the answer to one batch says of single machines. */
    private class MachineAnswers {
        val mail = ArrayList<UndeliveredCommands>()
        val refuse = ArrayList<String>()
        val unknown = ArrayList<Long>()
    }

    /** Takes in what a relay has heard, and grants it more time if relays are wanted. */
    fun take(batch: HeartbeatBatch): HeartbeatBatchResponse {
        val relayer = relayerOf(batch)
        relayer.batchAt = context.now
        val sentAt = sendTime(relayer, batch)
        val answers = MachineAnswers()
        hearReports(relayer, batch, sentAt, answers)
        hearSigns(relayer, batch, sentAt, answers)
        if (wanted) {
            val until = context.now + grant * (1 + MAX_CLOCK_DRIFT)
            relayer.grantedUntil = maxOf(relayer.grantedUntil, until)
        }
        return answer(relayer, batch, answers)
    }

    /** When the batch was sent, or somewhat before: it may have been held up on its way. */
    private fun sendTime(relayer: Relayer, batch: HeartbeatBatch): Micros {
        // The clock that it was told is this one's; what can't be is passed over.
        val echo = Micros(batch.echo).takeIf { batch.echo > 0 && it <= context.now }
        if (echo == null) return context.now
        relayer.toldUntil = maxOf(relayer.toldUntil, echo)
        return minOf(context.now, echo + Micros(batch.since.coerceAtLeast(0)))
    }

    private fun hearReports(
        relayer: Relayer,
        batch: HeartbeatBatch,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        for (full in batch.reports) {
            val report = reader.read(full.body) ?: continue
            relayer.numbers.put(report.machine, full.number)?.let { relayer.reports.remove(it) }
            relayer.reports[full.number] = report
            hear(relayer, report, sentAt, answers)
        }
    }

    private fun hearSigns(
        relayer: Relayer,
        batch: HeartbeatBatch,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        for (i in 0 until batch.signs.size - 1 step 2) {
            val report = relayer.reports[batch.signs[i]]
            if (report == null) answers.unknown.add(batch.signs[i])
            else hear(relayer, report.copy(tick = batch.signs[i + 1]), sentAt, answers)
        }
    }

    private fun answer(
        relayer: Relayer,
        batch: HeartbeatBatch,
        answers: MachineAnswers,
    ): HeartbeatBatchResponse {
        val shed = relayer.shed
        relayer.shed = 0
        val mustHalt = knowledge.tasksToHalt()
        // Too many to name: then nothing may be renewed before some are proven gone.
        val tooMany = mustHalt.sumOf { it.tasks.size } > MOST_NAMED_TASKS
        return HeartbeatBatchResponse(
            boot = batch.boot,
            number = batch.number,
            token = token.value,
            clock = context.now.value,
            wanted = wanted,
            grant = if (wanted) grant.value else 0,
            unknown = answers.unknown,
            mail = answers.mail,
            refuse = answers.refuse,
            shed = shed,
            shedTo = relayer.shedTo,
            sendOn = fleet.sendsOn,
            renews = context.now < knowledge.usableUntil && !tooMany,
            cancelledJobs = knowledge.cancelledJobs(),
            mustHalt = if (tooMany) emptyList() else mustHalt,
        )
    }

    private fun relayerOf(batch: HeartbeatBatch): Relayer {
        // What a former process of the member answered stays possible: its relayer stays too.
        relayers
            .find { it.member == batch.member && it.boot == batch.boot }
            ?.let {
                return it
            }
        log.info("{} takes reports", batch.member)
        return Relayer(batch.member, batch.boot).also { relayers.add(it) }
    }

    private fun hear(
        relayer: Relayer,
        report: WorkerHeartbeat,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        val orders = fleet.relayed(report, relayer.member, sentAt)
        if (orders == null) {
            answers.refuse.add(report.machine)
            relayer.numbers.remove(report.machine)?.let { relayer.reports.remove(it) }
        } else if (orders.isNotEmpty()) {
            answers.mail.add(UndeliveredCommands(report.machine, report.incarnation, orders))
        }
    }

    /**
     * The latest that the lease of a machine last known to be renewed at [renewedAt] may have been
     * renewed. A relay that has told all that it answered until the lease would have been over has
     * not renewed it; any other may have done so as long as its grant ran.
     */
    fun renewedAtLatest(renewedAt: Micros, leaseOver: Micros): Micros {
        var latest = renewedAt
        for (relayer in relayers) {
            if (relayer.toldUntil >= renewedAt + leaseOver) continue
            latest = maxOf(latest, minOf(relayer.grantedUntil, context.now))
        }
        return latest
    }

    /** Who answers workers besides this controller. */
    private fun live() =
        relayers.filter { context.now < it.grantedUntil && context.now - it.batchAt < BATCH_STALE }

    /** Decides once a second whether relays are wanted, and spreads the workers. */
    fun tick(loaded: Boolean) {
        if (context.now < decideAt) return
        decideAt = context.now + PERIOD
        val old = context.now - workers.leaseS.seconds * KEPT_LEASES
        relayers.removeIf { it.grantedUntil < old && it.batchAt < old }
        decide(loaded)
        shed = 0
        if (wanted) spread()
    }

    private fun decide(loaded: Boolean) {
        if (alone) return
        val known = cluster.machines.values.count { !it.decommissioned }
        val reports = known / workers.heartbeatPeriodS
        val many =
            reports > operators.heartbeatsPerCore * limits.cpu ||
                known > limits.fdLimit * SOCKETS_FOR_WORKERS
        if (many && !wanted) {
            log.info("{} machines: followers take reports too", known)
            wanted = true
        }
        // Once only, when the machines of an earlier leader have been heard: no to and fro.
        val heard =
            loaded && context.now - electedAt > (workers.heartbeatPeriodS * SETTLED_REPORTS).seconds
        if (!heard || settled) return
        settled = true
        if (!many) {
            log.info("{} machines: this controller takes all reports", known)
            wanted = false
        }
    }

    /**
     * In small steps from who has too many to who has the fewest. The leader, which decides for
     * all, counts for less than one of the others.
     */
    private fun spread() {
        val live = live()
        if (live.isEmpty()) return
        val counts = machinesByMember()
        val own = 1.0 / (live.size + 1)
        val total = live.sumOf { counts[it.member] ?: 0 } + (counts[member] ?: 0)
        // Nobody is given more than have sockets: they would come back, and go again.
        val each = minOf(total / (live.size + own), sockets.workers * FULL_PART)
        val least = live.minBy { counts[it.member] ?: 0 }
        val room = (each - (counts[least.member] ?: 0)).toInt()
        var step = minOf(room, maxOf(1, total / STEP_PART))
        fun steps(count: Int, target: Double): Int {
            val over = count - target * TOLERANCE - FEW
            val part = minOf(step, over.toInt()).coerceAtLeast(0)
            step -= part
            return part
        }
        shed = steps(counts[member] ?: 0, each * own)
        shedTo = least.member
        for (relayer in live) {
            relayer.shed = if (relayer === least) 0 else steps(counts[relayer.member] ?: 0, each)
            relayer.shedTo = least.member
        }
    }

    /** How many machines report to each controller. */
    private fun machinesByMember(): Map<String, Int> {
        val counts = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            if (machine.isUp && !machine.decommissioned)
                counts.merge(machine.forwardedBy ?: member, 1, Int::plus)
        }
        return counts
    }

    /** Whom to send a worker that reports to this controller to, or null to answer it. */
    fun sendAway(): String? {
        if (shed <= 0) return null
        shed--
        return shedTo
    }

    companion object {
        /** Some 100 KB in an answer; a fleet of thousands of machines rarely has so many. */
        private const val MOST_NAMED_TASKS = 5_000
        private const val KEPT_LEASES = 3.0
        private val PERIOD = 1.seconds
        private val BATCH_STALE = 3.seconds
        private const val SETTLED_REPORTS = 1.5

        /** The rest is for users, siblings, direct orders and the services. */
        private const val SOCKETS_FOR_WORKERS = 0.5
        private const val STEP_PART = 100
        private const val TOLERANCE = 1.2
        private const val FEW = 3

        /** Of a controller's sockets for workers; the others take those that come and go. */
        private const val FULL_PART = 0.95
    }
}
