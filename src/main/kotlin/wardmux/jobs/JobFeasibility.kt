package wardmux.jobs

import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.MachineType

/**
 * Detects jobs that can never run: no machine that could be rented fits them, they need more zones
 * than they may use, or they exceed their team's maximum quota even if none of it is in use.
 */
class JobFeasibility(teams: List<TeamQuota>) {
    private val teamsByName = teams.associateBy { it.name }

    /**
     * Returns the reason, for the user, why the job can never run on machines of [types]; null if
     * it can.
     */
    fun infeasibilityReason(spec: JobSpec, types: List<MachineType>): String? {
        val team = teamsByName[spec.team] ?: return "the team does not exist"
        val allowed = types.filter { it.allowedFor(spec) }
        return when {
            allowed.isEmpty() -> "a task fits no machine type that the job allows"
            hasTooFewZones(spec, allowed) ->
                "the zones that the job may use can't hold all of its scattered tasks"
            exceedsQuota(spec, team) -> "the job exceeds the maximum quota of its team"
            else -> null
        }
    }

    /**
     * Whether the job must spread its tasks over more zones than it may use. The tasks of an array
     * job may run one after the other, so they need no spreading. The tasks of any other job have
     * to run at the same time, and the number of them in one zone is limited if they are to be
     * spread.
     */
    private fun hasTooFewZones(spec: JobSpec, allowed: List<MachineType>): Boolean {
        if (spec.kind == JobKind.ARRAY || !spec.spread) return false
        val zones =
            if (spec.zone != null || spec.oneZone) 1 else allowed.flatMap { it.zones }.toSet().size
        return spec.zoneLimit * zones < spec.tasks
    }

    private fun exceedsQuota(spec: JobSpec, team: TeamQuota): Boolean {
        val concurrentTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val tolerance = MachineType.RESOURCE_TOLERANCE
        return spec.cpus * concurrentTasks > team.cpusMax + tolerance ||
            spec.gpus * concurrentTasks > team.gpusMax + tolerance
    }
}
