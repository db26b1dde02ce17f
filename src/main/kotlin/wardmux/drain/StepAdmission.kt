package wardmux.drain

import java.time.Duration
import java.time.ZoneId
import wardmux.config.DrainSettings
import wardmux.core.CoreContext
import wardmux.maintenance.MaintenanceWindows
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds

/** Decides whether a step may start: maintenance windows, urgent work, pauses and budgets. */
class StepAdmission(
    private val context: CoreContext,
    private val drains: DrainStore,
    private val inspector: StepInspector,
    private val urgentWork: UrgentWork,
    private val budgets: DisruptionBudgets,
    private val feasibility: RelocationFeasibility,
    private val settings: DrainSettings,
) {
    /** Lazy, since a holiday calendar takes long to read and a new leader has no time for it. */
    private val windows by lazy {
        MaintenanceWindows(ZoneId.of(settings.timeZone), settings.holidays, settings.windows)
    }

    /** Why no step with any of [targets] may start now, or null. */
    fun refusal(record: DrainRecord, targets: List<Machine>): DrainDecision? =
        reasonToWait(record, targets)?.let { DrainDecision.Wait(it) }

    /** Why a step with exactly [machines] may not start now, by what it evicts, or null. */
    fun stepRefusal(record: DrainRecord, machines: List<Machine>): DrainDecision? {
        val evicted = machines.flatMap { inspector.tasksToEvict(it, record.request) }
        reasonForStepPause(teamsOf(evicted))?.let {
            return DrainDecision.Wait(it)
        }
        for (placement in evicted.distinctBy { it.job.id }) {
            val refusal = budgets.refusal(placement.job, 1) as? BudgetRefusal.Temporary ?: continue
            return if (isInActiveStep(placement.job.spec.team)) DrainDecision.Wait(refusal.reason)
            else DrainDecision.Pause(PauseReason.LOSS, refusal.reason)
        }
        return null
    }

    /** The first thing that would keep the drain from starting a step now, or null. */
    fun firstObstacle(record: DrainRecord, targets: List<Machine>): String? {
        reasonToWait(record, targets)?.let {
            return it
        }
        val evicted = targets.flatMap { inspector.tasksToEvict(it, record.request) }
        return reasonForStepPause(teamsOf(evicted))
            ?: evicted.firstNotNullOfOrNull { budgets.refusal(it.job, 1)?.reason }
            ?: missingCapacity(evicted, targets.toSet())
    }

    private fun teamsOf(placements: List<Placement>): Set<String> =
        placements.mapTo(sortedSetOf()) { it.job.spec.team }

    private fun reasonToWait(record: DrainRecord, targets: List<Machine>): String? {
        urgentWork.reasonToYield(targets)?.let {
            return it
        }
        val at = MaintenanceWindows.instantOf(context.wallTime)
        if (windows.isOpenFor(at, expectedDuration(record))) return null
        return "a maintenance window; the next is from ${windows.next(at)?.from}"
    }

    /** As long as the step before, or the grace period and the usual time beside it. */
    private fun expectedDuration(record: DrainRecord): Duration {
        val usualDuration = record.request.graceS.seconds + USUAL_STEP_DURATION
        return Duration.ofSeconds(maxOf(usualDuration, Micros(record.lastStep)).inSeconds.toLong())
    }

    private fun reasonForStepPause(teams: Set<String>): String? {
        val lastStepEndedAt = drains.all.maxOfOrNull { it.stepEndedAt } ?: 0
        for (team in teams) {
            val pause = settings.budgetOf(team).stepPauseS.seconds
            if (pause == Micros.ZERO) continue
            if (isInActiveStep(team)) return "another step that disrupts $team is under way"
            val elapsed = context.wallTime - Micros(lastStepEndedAt)
            if (lastStepEndedAt > 0 && elapsed < pause)
                return "the pause between two steps of $team, ${(pause - elapsed).inSeconds.toInt()} s"
        }
        return null
    }

    /** A step that is under way holds tasks of [team]. */
    private fun isInActiveStep(team: String): Boolean =
        inspector.activeSteps.any { step ->
            inspector.unsettledTasks(step).any { inspector.teamOf(it) == team } ||
                inspector.machinesOf(step).any { machine ->
                    machine.placements.values.any { it.job.spec.team == team }
                }
        }

    private fun missingCapacity(evicted: List<Placement>, leaving: Set<Machine>): String? {
        val unplaceable = feasibility.unplaceableTasks(evicted, leaving)
        return if (unplaceable.isEmpty()) null
        else "no room yet for ${unplaceable.size} of ${evicted.size} tasks; it is rented first"
    }

    private companion object {
        /** Boot of a replacement and restart of what was evicted. */
        val USUAL_STEP_DURATION = 120.seconds
    }
}
