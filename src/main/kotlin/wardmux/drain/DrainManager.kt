package wardmux.drain

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Carries out the drains while this controller leads. A decision is written first and acted on only
 * once it is stored, and all actions follow from what is stored, so that the next leader continues
 * in the middle of any step. Several drains run side by side and share the budgets.
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

    /** What the drain [id] waits for, for the operators; empty if nothing. */
    fun waitsFor(id: String): String = waitsFor[id].orEmpty()

    /** Advances all drains; only for a leader that may decide. */
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

    /** Null for a drain that waits for its operators. */
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
        log.info("drain {} pauses: {}", record.request.id, decision.note)
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

    /** Pauses that come and go with single losses are not written each time. */
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
            "drain {} is {}: step {} {}, {} machines returned, {} tasks evicted",
            record.request.id,
            record.state,
            step?.number ?: record.stepsDone,
            step?.phase ?: "finished",
            record.returned,
            record.moved,
        )
        // At once, so that machines of a cancelled drain take tasks again and a new step starts.
        nextAdvanceAt = Micros.LONG_AGO
    }

    private companion object {
        val ADVANCE_PERIOD = 500.milliseconds
        val MIN_PAUSE_CHANGE_INTERVAL = 3.seconds
        const val MAX_NOTE_CHARS = 200
    }
}
