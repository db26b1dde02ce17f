package wardmux.jobs

import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.MachineType

/** Tells jobs that can never run, on any machine that there could be and with any quota free. */
class JobFeasibility(teams: List<TeamQuota>) {
    private val teams = teams.associateBy { it.name }

    /** Why the job can never run on machines of [types]; null if it can. */
    fun reasonInfeasible(spec: JobSpec, types: List<MachineType>): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val allowed = types.filter { it.allowedFor(spec) }
        return when {
            allowed.isEmpty() -> "a task fits no allowed machine type"
            hasTooFewZones(spec, allowed) -> "may not be in as few zones as it has to"
            exceedsQuota(spec, team) -> "more than the team's limit"
            else -> null
        }
    }

    /**
     * An array's tasks may run one after the other. All others have to run together, which one zone
     * can't give to those that may not all be in one.
     */
    private fun hasTooFewZones(spec: JobSpec, allowed: List<MachineType>): Boolean {
        if (spec.kind == JobKind.ARRAY || !spec.spread) return false
        val zones =
            if (spec.zone != null || spec.oneZone) 1 else allowed.flatMap { it.zones }.toSet().size
        return spec.zoneLimit * zones < spec.tasks
    }

    private fun exceedsQuota(spec: JobSpec, team: TeamQuota): Boolean {
        val tasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val slack = MachineType.RESOURCE_TOLERANCE
        return spec.cpus * tasks > team.cpusMax + slack || spec.gpus * tasks > team.gpusMax + slack
    }
}
