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

/**
 * Decides whether a step may start, depending on maintenance windows, urgent work, the pause
 * between steps and the disruption budgets.
 */
class StepAdmission(
    private val context: CoreContext,
    private val drains: DrainStore,
    private val inspector: StepInspector,
    private val urgentWork: UrgentWork,
    private val budgets: DisruptionBudgets,
    private val feasibility: RelocationFeasibility,
    private val settings: DrainSettings,
) {
    /**
     * Created lazily, because reading a holiday calendar takes long and would delay a new leader.
     */
    private val windows by lazy {
        MaintenanceWindows(ZoneId.of(settings.timeZone), settings.holidays, settings.windows)
    }

    /** Why no step with any of [targets] may start now; null if one may. */
    fun refusal(record: DrainRecord, targets: List<Machine>): DrainDecision? =
        reasonToWait(record, targets)?.let { DrainDecision.Wait(it) }

    /**
     * Why a step with exactly [machines] may not start now, considering the tasks that it evicts;
     * null if it may.
     */
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

    /** The first reason that would delay a step of the drain now; null if there is none. */
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
        return "a maintenance window; the next one opens at ${windows.nextOccurrence(at)?.from}"
    }

    /**
     * The expected duration of the next step: that of the last step, but at least the grace period
     * plus [USUAL_STEP_DURATION].
     */
    private fun expectedDuration(record: DrainRecord): Duration {
        val usualDuration = record.request.graceS.seconds + USUAL_STEP_DURATION
        return Duration.ofSeconds(maxOf(usualDuration, Micros(record.lastStep)).inSeconds.toLong())
    }

    private fun reasonForStepPause(teams: Set<String>): String? {
        val lastStepEndedAt = drains.all.maxOfOrNull { it.stepEndedAt } ?: 0
        for (team in teams) {
            val pause = settings.budgetOf(team).stepPauseS.seconds
            if (pause == Micros.ZERO) continue
            if (isInActiveStep(team)) return "another step that evicts tasks of team $team"
            val elapsed = context.wallTime - Micros(lastStepEndedAt)
            if (lastStepEndedAt > 0 && elapsed < pause)
                return "the pause between steps of team $team, " +
                    "${(pause - elapsed).inSeconds.toInt()} s left"
        }
        return null
    }

    /** True if a current step has tasks of [team] that are still placed or do not run again yet. */
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
        else
            "no capacity yet for ${unplaceable.size} of ${evicted.size} tasks; " +
                "machines are rented first"
    }

    private companion object {
        /** Time to boot a replacement and restart the evicted tasks. */
        val USUAL_STEP_DURATION = 120.seconds
    }
}
