package wardmux.model

/**
 * Tracks the CPUs, GPUs and memory (in GB) that tasks reserve on a machine of [type]. Orphans,
 * which are reported tasks without a record, are counted separately from placements.
 */
class MachineResources(private val type: MachineType) {
    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0
    private var orphanCpus = 0.0
    private var orphanGpus = 0.0
    private var orphanMemoryGb = 0.0

    /** The CPUs that replicas of services reserve. */
    var serviceCpus = 0.0
        private set

    val freeCpus: Double
        get() = type.cpus - usedCpus - orphanCpus

    val freeGpus: Double
        get() = type.gpus - usedGpus - orphanGpus

    val freeMemoryGb: Double
        get() = type.memoryGb - usedMemoryGb - orphanMemoryGb

    /**
     * The largest of the shares of the machine's CPUs, memory and GPUs that placements reserve,
     * from 0 to 1.
     */
    val load: Double
        get() =
            maxOf(
                usedCpus / type.cpus,
                usedMemoryGb / type.memoryGb,
                if (type.gpus > 0) usedGpus / type.gpus else 0.0,
            )

    /** Returns true if there is room for one more task of [spec]. */
    fun fits(spec: JobSpec): Boolean {
        val tolerance = MachineType.RESOURCE_TOLERANCE
        return spec.cpus <= freeCpus + tolerance &&
            spec.gpus <= freeGpus + tolerance &&
            spec.memoryGb <= freeMemoryGb + tolerance
    }

    /** The number of further tasks of [spec] for which there is room. */
    fun roomFor(spec: JobSpec): Int {
        val tolerance = MachineType.RESOURCE_TOLERANCE
        val byCpu = if (spec.cpus > 0) (freeCpus + tolerance) / spec.cpus else Double.MAX_VALUE
        val byGpu = if (spec.gpus > 0) (freeGpus + tolerance) / spec.gpus else Double.MAX_VALUE
        val byMemory =
            if (spec.memoryGb > 0) (freeMemoryGb + tolerance) / spec.memoryGb else Double.MAX_VALUE
        return minOf(byCpu, byGpu, byMemory).coerceIn(0.0, MAX_TASKS).toInt()
    }

    /** Reserves the resources of one task of [spec]. */
    fun reserve(spec: JobSpec) = add(spec, 1)

    /** Frees the resources of one task of [spec]. */
    fun free(spec: JobSpec) = add(spec, -1)

    /**
     * Resets the reservations of placements to zero. It is called when no placement is left, to
     * discard accumulated rounding errors.
     */
    fun clear() {
        serviceCpus = 0.0
        usedCpus = 0.0
        usedGpus = 0.0
        usedMemoryGb = 0.0
    }

    /** Reserves the resources of [orphans], replacing those of the previous orphans. */
    fun setOrphans(orphans: List<JobSpec>) {
        orphanCpus = orphans.sumOf { it.cpus }
        orphanGpus = orphans.sumOf { it.gpus }
        orphanMemoryGb = orphans.sumOf { it.memoryGb }
    }

    private fun add(spec: JobSpec, sign: Int) {
        usedCpus += sign * spec.cpus
        usedGpus += sign * spec.gpus
        usedMemoryGb += sign * spec.memoryGb
        if (spec.kind == JobKind.SERVICE) serviceCpus += sign * spec.cpus
    }

    private companion object {
        /** An upper bound for results; no machine runs as many tasks. */
        const val MAX_TASKS = 10_000.0
    }
}
