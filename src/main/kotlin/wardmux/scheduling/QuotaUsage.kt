package wardmux.scheduling

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import wardmux.config.TeamQuota
import wardmux.model.JobSpec
import wardmux.model.MachineType

/** The CPUs and GPUs of each team's quota that its tasks use, including orphans. */
internal class QuotaUsage(private val quotas: Map<String, TeamQuota>) {
    private val cpus = Object2DoubleOpenHashMap<String>()
    private val gpus = Object2DoubleOpenHashMap<String>()

    /** The CPUs that [team] uses. */
    fun usedCpus(team: String): Double = cpus.getDouble(team)

    /** Adds the usage of [tasks] tasks like [spec]; a negative number subtracts it. */
    fun adjust(spec: JobSpec, tasks: Int) {
        cpus.addTo(spec.team, tasks * spec.cpus)
        gpus.addTo(spec.team, tasks * spec.gpus)
    }

    /**
     * How many more tasks like [spec] the team's quota allows. If [afterStarting] is given, one
     * task like it is counted as started first.
     */
    fun quotaHeadroom(spec: JobSpec, afterStarting: JobSpec?): Int {
        val quota = quotas[spec.team] ?: return 0
        val byCpu =
            if (spec.cpus > 0) {
                val used = cpus.getDouble(spec.team) + (afterStarting?.cpus ?: 0.0)
                (quota.cpusMax - used + MachineType.RESOURCE_TOLERANCE) / spec.cpus
            } else Double.MAX_VALUE
        val byGpu =
            if (spec.gpus > 0) {
                val used = gpus.getDouble(spec.team) + (afterStarting?.gpus ?: 0.0)
                (quota.gpusMax - used + MachineType.RESOURCE_TOLERANCE) / spec.gpus
            } else Double.MAX_VALUE
        return minOf(byCpu, byGpu, MAX_HEADROOM_TASKS).toInt().coerceAtLeast(0)
    }

    /** Resets the usage of all teams to zero. */
    fun clear() {
        cpus.clear()
        gpus.clear()
    }

    private companion object {
        const val MAX_HEADROOM_TASKS = 1e6
    }
}
