package wardmux.drain

import wardmux.config.DrainSettings

/** Builds the status responses for drains from the state that the leader holds. */
class DrainStatusReader(
    private val drains: DrainStore,
    private val manager: DrainManager,
    private val selection: DrainSelection,
    private val budgets: DisruptionBudgets,
    private val settings: DrainSettings,
) {
    /** All drains, without the number of remaining machines and the budgets. */
    fun list() =
        DrainList(
            drains.all.map { DrainStatus(it, Source.LEADER, waitsFor = waitsFor(it)) },
            drains.unreadableIds.toList(),
        )

    /**
     * One drain with the number of its remaining machines and the budgets of the teams that have
     * tasks on them.
     */
    fun of(record: DrainRecord): DrainStatus {
        val remaining = selection.remaining(record)
        val teams =
            remaining.flatMap { it.placements.values }.mapTo(sortedSetOf()) { it.job.spec.team }
        return DrainStatus(
            record,
            Source.LEADER,
            waitsFor = waitsFor(record),
            remaining = remaining.size,
            budgets = teams.map { budgetOf(it) },
        )
    }

    /** How much of the disruption budget of [team] is in use. */
    fun budgetOf(team: String) =
        BudgetStatus(
            team,
            budgets.disruptionLimit(team),
            budgets.disruptedTasks(team),
            settings.budgetOf(team).minReplicas,
        )

    private fun waitsFor(record: DrainRecord) =
        if (record.state.isFinal) "" else manager.waitsFor(record.request.id)
}
