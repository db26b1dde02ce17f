package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds

/** Tasks that may be stopped now; where others may not, why, and of which team they are. */
class EvictionSelection(val chosen: List<Placement>, val refusal: BudgetRefusal?, val team: String)

/** A task of a service, which never ends by itself. */
val Placement.isReplica: Boolean
    get() = job.spec.shape == JobKind.SERVICE

/** What a stop of this task stops: a gang as one. */
val Placement.evictedTogether: List<Placement>
    get() = if (job.spec.isGang) job.placements.values.toList() else listOf(this)

/** Chooses which tasks of a step are stopped next. */
class EvictionSelector(
    private val context: CoreContext,
    private val disruptions: DisruptionBudgets,
) {
    /** As many as the budgets allow, those with least to lose first. */
    fun choose(candidates: List<Placement>): EvictionSelection {
        val chosen = ArrayList<Placement>()
        val byTeam = HashMap<String, Int>()
        var refusal: BudgetRefusal? = null
        var refusedTeam = ""
        for (candidate in candidates.sortedBy { lost(it).value }) {
            if (chosen.size >= MAX_AT_ONCE) break
            val team = candidate.job.spec.team
            val units = candidate.evictedTogether.size
            val isSingle = byTeam.containsKey(team) && chosen.any { it.job === candidate.job }
            if (candidate.job.spec.isGang && isSingle) continue
            val refused = refusalBeside(candidate, units, chosen, byTeam[team] ?: 0)
            if (refused != null) {
                // What ends by itself is waited for, whatever its budget.
                if (refusal == null || candidate.isReplica) {
                    refusal = refused
                    refusedTeam = team
                }
                continue
            }
            chosen.add(candidate)
            byTeam.merge(team, units, Int::plus)
        }
        return EvictionSelection(chosen, refusal, refusedTeam)
    }

    /** Whether the budgets have room for it beside what is [chosen] already. */
    private fun refusalBeside(
        candidate: Placement,
        units: Int,
        chosen: List<Placement>,
        ofTeam: Int,
    ): BudgetRefusal? {
        val alone = disruptions.refusal(candidate.job, units)
        if (alone != null || ofTeam == 0) return alone
        val team = candidate.job.spec.team
        if (disruptions.disruptedOf(team) + ofTeam + units > disruptions.limitOf(team))
            return BudgetRefusal.NotNow("team $team: its budget is in use")
        val ofJob = chosen.count { it.job === candidate.job }
        if (!candidate.isReplica || ofJob == 0) return null
        return disruptions.refusal(candidate.job, ofJob + units)
    }

    /** Run time that stopping it throws away. */
    private fun lost(placement: Placement): Micros {
        val since = placement.runningSince ?: return Micros.ZERO
        val spec = placement.job.spec
        return if (spec.savable || placement.isReplica) spec.saveS.seconds else context.now - since
    }

    private companion object {
        const val MAX_AT_ONCE = 64
    }
}
