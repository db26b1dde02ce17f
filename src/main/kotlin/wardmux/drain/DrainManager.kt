package wardmux.drain

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Advances the drains while this controller is the leader. Each decision is written to the store
 * first and acted on only once it is stored. Every action is derived from the stored records, so a
 * new leader can continue in the middle of any step. Several drains may run concurrently; they
 * share the disruption budgets.
 */
class DrainManager(
    private val context: CoreContext,
    private val drains: DrainStore,
    private val budgets: DisruptionBudgets,
    private val maintenanceUpdater: MaintenanceUpdater,
    private val starter: StepStarter,
    private val executor: StepExecutor,
) {
    private val log = logger<DrainManager>()
    private val waitsFor = HashMap<String, String>()
    private var nextAdvanceAt = Micros.LONG_AGO

    /** What the drain [id] waits for, as shown to operators; empty if it waits for nothing. */
    fun waitsFor(id: String): String = waitsFor[id].orEmpty()

    /**
     * Advances all drains. Must be called only while the leader may decide, see
     * [DrainTerm.mayDecide].
     */
    fun tick() {
        drains.tick()
        if (!drains.isRead || context.now < nextAdvanceAt) return
        nextAdvanceAt = context.now + ADVANCE_PERIOD
        val active = drains.all.filter { !it.state.isFinal }
        maintenanceUpdater.update(active)
        if (active.isEmpty()) return
        budgets.recount()
        for (record in active) if (!drains.isBusy(record.request.id)) advance(record)
    }

    private fun advance(record: DrainRecord) {
        val decision = decide(record)
        waitsFor[record.request.id] = (decision as? DrainDecision.Wait)?.reason.orEmpty()
        when (decision) {
            is DrainDecision.Wait -> if (record.isPausedAutomatically) resume(record)
            is DrainDecision.Write -> {
                starter.backOffUnplaceable(record, decision.record)
                write(withRunningState(decision.record))
            }
            is DrainDecision.Pause -> pause(record, decision)
            null -> Unit
        }
    }

    private fun withRunningState(record: DrainRecord): DrainRecord {
        val next = record.copy(reason = null, note = "")
        return if (next.state.isFinal) next else next.copy(state = DrainState.RUNNING)
    }

    /** The next decision for [record]; null if the drain is paused until an operator resumes it. */
    private fun decide(record: DrainRecord): DrainDecision? {
        if (record.state == DrainState.PAUSED && !record.isPausedAutomatically) return null
        if (isOverdue(record))
            return DrainDecision.Pause(
                PauseReason.DEADLINE,
                "the deadline ${record.request.deadline}",
            )
        val step = record.step ?: return starter.decide(record)
        return executor.decide(record, step)
    }

    private fun isOverdue(record: DrainRecord): Boolean {
        val request = record.request
        val deadline = request.deadline?.let { DrainSelection.parseTime(it) } ?: return false
        return request.atDeadline == DeadlineAction.PAUSE && context.wallTime > deadline
    }

    private fun pause(record: DrainRecord, decision: DrainDecision.Pause) {
        waitsFor[record.request.id] = decision.note
        if (record.state == DrainState.PAUSED && record.reason == decision.reason) return
        if (isRecentlyChanged(record) && decision.reason.resumesAutomatically) return
        log.info("drain {} is being paused: {}", record.request.id, decision.note)
        write(
            record.copy(
                state = DrainState.PAUSED,
                reason = decision.reason,
                note = decision.note.take(MAX_NOTE_CHARS),
            )
        )
    }

    private fun resume(record: DrainRecord) {
        if (isRecentlyChanged(record)) return
        write(record.resumed())
    }

    /**
     * True if the record changed less than [MIN_PAUSE_CHANGE_INTERVAL] ago. Automatic pauses and
     * resumes are then not written, because losses of single tasks can alternate quickly.
     */
    private fun isRecentlyChanged(record: DrainRecord) =
        context.wallTime - Micros(record.changedAt) < MIN_PAUSE_CHANGE_INTERVAL

    private val DrainRecord.isPausedAutomatically: Boolean
        get() = state == DrainState.PAUSED && reason?.resumesAutomatically == true

    private fun write(record: DrainRecord) {
        drains.write(record) { next, outcome ->
            if (outcome == DrainWriteOutcome.WRITTEN) onWritten(next)
        }
    }

    private fun onWritten(record: DrainRecord) {
        val step = record.step
        log.info(
            "drain {} was stored as {}: step {} {}, {} machines returned, {} tasks evicted",
            record.request.id,
            record.state,
            step?.number ?: record.stepsDone,
            step?.phase ?: "finished",
            record.returned,
            record.moved,
        )
        // The next tick advances the drains at once, so that the machines of a cancelled drain take
        // tasks again and a new step starts without delay.
        nextAdvanceAt = Micros.LONG_AGO
    }

    private companion object {
        val ADVANCE_PERIOD = 500.milliseconds
        val MIN_PAUSE_CHANGE_INTERVAL = 3.seconds
        const val MAX_NOTE_CHARS = 200
    }
}
