package wardmux.scheduling

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import wardmux.config.TeamQuota
import wardmux.model.JobSpec
import wardmux.model.MachineType

/** What the tasks of each team take of its quota, orphans among them. */
internal class QuotaUsage(private val quotas: Map<String, TeamQuota>) {
    private val cpus = Object2DoubleOpenHashMap<String>()
    private val gpus = Object2DoubleOpenHashMap<String>()

    /** The CPUs that [team] uses. */
    fun usedCpus(team: String): Double = cpus.getDouble(team)

    /** Counts [tasks] tasks more like this, or fewer. */
    fun adjust(spec: JobSpec, tasks: Int) {
        cpus.addTo(spec.team, tasks * spec.cpus)
        gpus.addTo(spec.team, tasks * spec.gpus)
    }

    /**
     * How many more tasks like this the team's quota allows, once one like [beside] has started.
     */
    fun headroom(spec: JobSpec, beside: JobSpec?): Int {
        val quota = quotas[spec.team] ?: return 0
        val byCpu =
            if (spec.cpus > 0) {
                val used = cpus.getDouble(spec.team) + (beside?.cpus ?: 0.0)
                (quota.cpusMax - used + MachineType.RESOURCE_TOLERANCE) / spec.cpus
            } else Double.MAX_VALUE
        val byGpu =
            if (spec.gpus > 0) {
                val used = gpus.getDouble(spec.team) + (beside?.gpus ?: 0.0)
                (quota.gpusMax - used + MachineType.RESOURCE_TOLERANCE) / spec.gpus
            } else Double.MAX_VALUE
        return minOf(byCpu, byGpu, MAX_HEADROOM).toInt().coerceAtLeast(0)
    }

    /** Nothing is used any more. */
    fun clear() {
        cpus.clear()
        gpus.clear()
    }

    private companion object {
        const val MAX_HEADROOM = 1e6
    }
}
