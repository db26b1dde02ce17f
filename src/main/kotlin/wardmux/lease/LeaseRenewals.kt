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

/** Why the answer to a report does not renew the lease. */
enum class WithholdingReason {
    /** Users may have been told of cancellations that are not known here. */
    UNINFORMED,

    /** A cancelled task may be on the machine that its report does not show. */
    UNPROVEN,
}

/** Whether the answer to one report renews the lease of its machine. */
sealed interface RenewalDecision {
    /** It does, by the right of [renewal]. */
    class Renew(val renewal: LeaseRenewal) : RenewalDecision

    /** It does not: the worker drops the answer and stays with this controller. */
    class Withhold(val reason: WithholdingReason) : RenewalDecision {
        /** The answer, under no leader's token. */
        val answer: ByteArray
            get() = WorkerHeartbeatResponse.DROPPED
    }
}

/**
 * The right to renew the lease of the one machine whose report it was made for, with the answer to
 * that report. Only [LeaseRenewals] makes it.
 */
class LeaseRenewal
internal constructor(
    val token: FencingToken,
    /** What the answer has to carry: without these halts it must not go out. */
    val halts: List<WorkerCommand>,
    private val plainAnswer: ByteArray,
) {
    /** The answer that renews the lease, with [orders] besides the halts. */
    fun answer(orders: List<WorkerCommand>): ByteArray {
        if (halts.isEmpty() && orders.isEmpty()) return plainAnswer
        val halted = halts.mapTo(HashSet()) { it.taskAttempt }
        val others = orders.filter { it.verb != WorkerCommand.HALT || it.taskAttempt !in halted }
        return WorkerHeartbeatResponse.renewing(this, halts + others).encode()
    }
}

/**
 * Decides for every answer to a report, of a leader or of a relay, whether it renews the lease.
 *
 * An answer either rests on knowledge, recent enough and about this very machine, that nothing
 * cancelled is on it, or carries the halts itself. The report lists what is on the machine, so
 * whatever it shows of a cancelled job is halted by the same answer. What it does not show may
 * still be started by a command under way: then the lease has to run out in time.
 */
class LeaseRenewals(private val context: CoreContext, private val counters: RenewalCounters) {
    private val log = logger<LeaseRenewals>()

    /** The answer without orders under [plainToken], which most reports get. */
    private var plainAnswer = ByteArray(0)
    private var plainToken: FencingToken? = null

    /** Machines whose lease was withheld last, so that each change is logged once. */
    private val withheld = HashSet<String>()
    private var uninformed = false
    private val checked = CheckedHeartbeats()

    /** Whether [report] may be answered by a renewal, to the best of what is known. */
    fun decide(report: WorkerHeartbeat, knowledge: CancellationView): RenewalDecision {
        if (context.now >= knowledge.usableUntil) return withholdUninformed(knowledge)
        if (uninformed) logInformed(knowledge)
        val mustHalt = knowledge.mustHalt(MachineId(report.machine))
        val shown = mustHalt.count { report.shows(it) }
        if (shown < mustHalt.size) return withholdUnproven(report, mustHalt, knowledge)
        if (withheld.remove(report.machine)) {
            log.info("renewal=resumed machine={} token={}", report.machine, knowledge.token)
        }
        val plainAnswer = plainAnswer(knowledge.token)
        val halts = halts(report, mustHalt, knowledge)
        counters.renewed(halts.size)
        if (mustHalt.isNotEmpty()) logHalts(report, halts, knowledge)
        return RenewalDecision.Renew(LeaseRenewal(knowledge.token, halts, plainAnswer))
    }

    private fun halts(
        report: WorkerHeartbeat,
        mustHalt: List<TaskAttempt>,
        knowledge: CancellationView,
    ): List<WorkerCommand> {
        val learned = knowledge.cancellationsLearned
        if (mustHalt.isEmpty() && checked.isFree(report, learned)) return emptyList()
        var halts: ArrayList<WorkerCommand>? = null
        for (task in report.tasks) {
            if (task.status == TaskStatus.ENDED || !isCancelled(task, mustHalt, knowledge)) continue
            val order = WorkerCommand.halt(task.task, task.attempt, 0.0)
            halts = (halts ?: ArrayList()).also { it.add(order) }
        }
        if (halts != null) return halts
        checked.foundFree(report, learned)
        return emptyList()
    }

    private fun isCancelled(
        task: ReportedTask,
        mustHalt: List<TaskAttempt>,
        knowledge: CancellationView,
    ): Boolean {
        if (mustHalt.any { it.task == task.task && it.attempt == task.attempt }) return true
        val id = TaskId.parse(task.task) ?: return false
        return knowledge.isCancelled(id.job)
    }

    private fun plainAnswer(token: FencingToken): ByteArray {
        if (plainToken != token) {
            plainToken = token
            plainAnswer = WorkerHeartbeatResponse.plain(token)
            // Another leader: what it withholds is logged anew.
            withheld.clear()
            checked.clear()
        }
        return plainAnswer
    }

    private fun withholdUninformed(knowledge: CancellationView): RenewalDecision {
        counters.withheld(WithholdingReason.UNINFORMED)
        if (!uninformed) {
            uninformed = true
            log.info(
                "renewal=withheld reason=uninformed token={}: cancellations may not be known",
                knowledge.token,
            )
        }
        return RenewalDecision.Withhold(WithholdingReason.UNINFORMED)
    }

    private fun logInformed(knowledge: CancellationView) {
        uninformed = false
        log.info("renewal=resumed token={}: cancellations are known", knowledge.token)
    }

    private fun withholdUnproven(
        report: WorkerHeartbeat,
        mustHalt: List<TaskAttempt>,
        knowledge: CancellationView,
    ): RenewalDecision {
        counters.withheld(WithholdingReason.UNPROVEN)
        if (withheld.add(report.machine)) {
            log.info(
                "renewal=withheld reason=unproven machine={} token={} tasks={}",
                report.machine,
                knowledge.token,
                mustHalt.filterNot { report.shows(it) }.map { it.task },
            )
        }
        return RenewalDecision.Withhold(WithholdingReason.UNPROVEN)
    }

    private fun logHalts(
        report: WorkerHeartbeat,
        halts: List<WorkerCommand>,
        knowledge: CancellationView,
    ) {
        if (halts.isEmpty()) return
        log.info(
            "renewal=granted machine={} token={} halts={} jobs={}",
            report.machine,
            knowledge.token,
            halts.size,
            halts.mapTo(LinkedHashSet()) { it.task.substringBefore('/') },
        )
    }
}
