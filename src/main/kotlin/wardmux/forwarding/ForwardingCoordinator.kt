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
    hasPeers: Boolean,
    private val knowledge: LeaderCancellationView,
) {
    /** One process that was ever given a grant in this term. */
    private class Forwarder(val member: String, val processIncarnation: String) {
        /** By this controller's clock, from when it surely answers no more unless granted anew. */
        var grantValidUntil = Micros.LONG_AGO

        /** All that it answered up to then has been told. */
        var reportedUntil = Micros.LONG_AGO
        var batchAt = Micros.LONG_AGO
        val reports = Long2ObjectHashMap<WorkerHeartbeat>()
        val numbers = HashMap<String, Long>()
        var rebalanceCount = 0
        var rebalanceTarget: String? = null
    }

    private val log = logger<ForwardingCoordinator>()
    private val electedAt = context.now
    private val forwarders = ArrayList<Forwarder>()

    /** How long a relay may answer without hearing from this leader. */
    private val grant = ForwardingGrant.duration(workers)
    private var decideAt = Micros.LONG_AGO
    private var rebalanceCount = 0
    private var rebalanceTarget: String? = null

    /**
     * Followers take reports too. At first they do, so that a new leader is not run over by all
     * workers at once; they go on if it is more than this controller can carry.
     */
    var forwardingEnabled = hasPeers
        private set

    private val hasNoPeers = !hasPeers
    private val sockets = limits.sockets

    /** It was decided whether they go on. */
    private var decided = false

    /** What the answer to one batch says of single machines. */
    private class MachineAnswers {
        val undelivered = ArrayList<UndeliveredCommands>()
        val rejectedMachines = ArrayList<String>()
        val unknownNumbers = ArrayList<Long>()
    }

    /** Takes in what a relay has heard, and grants it more time if relays are forwardingEnabled. */
    fun handleBatch(batch: HeartbeatBatch): HeartbeatBatchResponse {
        val forwarder = forwarderOf(batch)
        forwarder.batchAt = context.now
        val sentAt = sendTime(forwarder, batch)
        val answers = MachineAnswers()
        applyChanged(forwarder, batch, sentAt, answers)
        applyUnchanged(forwarder, batch, sentAt, answers)
        if (forwardingEnabled) {
            val until = context.now + grant * (1 + MAX_CLOCK_DRIFT)
            forwarder.grantValidUntil = maxOf(forwarder.grantValidUntil, until)
        }
        return answer(forwarder, batch, answers)
    }

    /** When the batch was sent, or somewhat before: it may have been held up on its way. */
    private fun sendTime(forwarder: Forwarder, batch: HeartbeatBatch): Micros {
        // The clock that it was told is this one's; what can't be is passed over.
        val echoedClock =
            Micros(batch.echoedClock).takeIf { batch.echoedClock > 0 && it <= context.now }
        if (echoedClock == null) return context.now
        forwarder.reportedUntil = maxOf(forwarder.reportedUntil, echoedClock)
        return minOf(context.now, echoedClock + Micros(batch.sinceEcho.coerceAtLeast(0)))
    }

    private fun applyChanged(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        for (full in batch.reports) {
            val report = reader.read(full.body) ?: continue
            forwarder.numbers.put(report.machine, full.number)?.let { forwarder.reports.remove(it) }
            forwarder.reports[full.number] = report
            apply(forwarder, report, sentAt, answers)
        }
    }

    private fun applyUnchanged(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        for (i in 0 until batch.unchanged.size - 1 step 2) {
            val report = forwarder.reports[batch.unchanged[i]]
            if (report == null) answers.unknownNumbers.add(batch.unchanged[i])
            else apply(forwarder, report.copy(tick = batch.unchanged[i + 1]), sentAt, answers)
        }
    }

    private fun answer(
        forwarder: Forwarder,
        batch: HeartbeatBatch,
        answers: MachineAnswers,
    ): HeartbeatBatchResponse {
        val rebalanceCount = forwarder.rebalanceCount
        forwarder.rebalanceCount = 0
        val mustHalt = knowledge.tasksToHalt()
        // Too many to name: then nothing may be renewed before some are proven gone.
        val tooMany = mustHalt.sumOf { it.tasks.size } > MAX_NAMED_TASKS
        return HeartbeatBatchResponse(
            processIncarnation = batch.processIncarnation,
            number = batch.number,
            token = token.value,
            leaderClock = context.now.value,
            forwardingEnabled = forwardingEnabled,
            grantDuration = if (forwardingEnabled) grant.value else 0,
            unknownNumbers = answers.unknownNumbers,
            undelivered = answers.undelivered,
            rejectedMachines = answers.rejectedMachines,
            rebalanceCount = rebalanceCount,
            rebalanceTarget = forwarder.rebalanceTarget,
            redirectsWorkers = fleet.sendsOn,
            renewalAllowed = context.now < knowledge.usableUntil && !tooMany,
            cancelledJobs = knowledge.cancelledJobs(),
            mustHalt = if (tooMany) emptyList() else mustHalt,
        )
    }

    private fun forwarderOf(batch: HeartbeatBatch): Forwarder {
        // What a former process of the member answered stays possible: its forwarder stays too.
        forwarders
            .find { it.member == batch.member && it.processIncarnation == batch.processIncarnation }
            ?.let {
                return it
            }
        log.info("{} takes reports", batch.member)
        return Forwarder(batch.member, batch.processIncarnation).also { forwarders.add(it) }
    }

    private fun apply(
        forwarder: Forwarder,
        report: WorkerHeartbeat,
        sentAt: Micros,
        answers: MachineAnswers,
    ) {
        val orders = fleet.relayed(report, forwarder.member, sentAt)
        if (orders == null) {
            answers.rejectedMachines.add(report.machine)
            forwarder.numbers.remove(report.machine)?.let { forwarder.reports.remove(it) }
        } else if (orders.isNotEmpty()) {
            answers.undelivered.add(UndeliveredCommands(report.machine, report.incarnation, orders))
        }
    }

    /**
     * The latest that the lease of a machine last known to be renewed at [renewedAt] may have been
     * renewed. A relay that has told all that it answered until the lease would have been over has
     * not renewed it; any other may have done so as long as its grant ran.
     */
    fun latestPossibleRenewal(renewedAt: Micros, leaseOver: Micros): Micros {
        var latest = renewedAt
        for (forwarder in forwarders) {
            if (forwarder.reportedUntil >= renewedAt + leaseOver) continue
            latest = maxOf(latest, minOf(forwarder.grantValidUntil, context.now))
        }
        return latest
    }

    /** Who answers workers besides this controller. */
    private fun active() =
        forwarders.filter {
            context.now < it.grantValidUntil && context.now - it.batchAt < BATCH_STALE
        }

    /** Decides once a second whether relays are forwardingEnabled, and spreads the workers. */
    fun tick(loaded: Boolean) {
        if (context.now < decideAt) return
        decideAt = context.now + PERIOD
        val old = context.now - workers.leaseS.seconds * KEPT_LEASES
        forwarders.removeIf { it.grantValidUntil < old && it.batchAt < old }
        decide(loaded)
        rebalanceCount = 0
        if (forwardingEnabled) rebalance()
    }

    private fun decide(loaded: Boolean) {
        if (hasNoPeers) return
        val known = cluster.machines.values.count { !it.decommissioned }
        val reports = known / workers.reportS
        val many =
            reports > operators.reportsPerCore * limits.cpu ||
                known > limits.fdLimit * SOCKETS_FOR_WORKERS
        if (many && !forwardingEnabled) {
            log.info("{} machines: followers take reports too", known)
            forwardingEnabled = true
        }
        // Once only, when the machines of an earlier leader have been heard: no to and fro.
        val heard = loaded && context.now - electedAt > (workers.reportS * SETTLED_REPORTS).seconds
        if (!heard || decided) return
        decided = true
        if (!many) {
            log.info("{} machines: this controller takes all reports", known)
            forwardingEnabled = false
        }
    }

    /**
     * In small steps from who has too many to who has the fewest. The leader, which decides for
     * all, counts for less than one of the others.
     */
    private fun rebalance() {
        val active = active()
        if (active.isEmpty()) return
        val counts = machinesByMember()
        val own = 1.0 / (active.size + 1)
        val total = active.sumOf { counts[it.member] ?: 0 } + (counts[member] ?: 0)
        // Nobody is given more than have sockets: they would come back, and go again.
        val each = minOf(total / (active.size + own), sockets.workers * FULL_PART)
        val least = active.minBy { counts[it.member] ?: 0 }
        val room = (each - (counts[least.member] ?: 0)).toInt()
        var step = minOf(room, maxOf(1, total / STEP_PART))
        fun steps(count: Int, target: Double): Int {
            val over = count - target * TOLERANCE - FEW
            val part = minOf(step, over.toInt()).coerceAtLeast(0)
            step -= part
            return part
        }
        rebalanceCount = steps(counts[member] ?: 0, each * own)
        rebalanceTarget = least.member
        for (forwarder in active) {
            forwarder.rebalanceCount =
                if (forwarder === least) 0 else steps(counts[forwarder.member] ?: 0, each)
            forwarder.rebalanceTarget = least.member
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
    fun redirectTarget(): String? {
        if (rebalanceCount <= 0) return null
        rebalanceCount--
        return rebalanceTarget
    }

    companion object {
        /** Some 100 KB in an answer; a fleet of thousands of machines rarely has so many. */
        private const val MAX_NAMED_TASKS = 5_000
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
