package wardmux.model

/** The CPUs, GPUs and memory (GB) of a machine of [type], by what its tasks reserve. */
class MachineResources(private val type: MachineType) {
    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0
    private var orphanCpus = 0.0
    private var orphanGpus = 0.0
    private var orphanMemoryGb = 0.0

    /** CPUs that replicas of services reserve. */
    var serviceCpus = 0.0
        private set

    val freeCpus: Double
        get() = type.cpus - usedCpus - orphanCpus

    val freeGpus: Double
        get() = type.gpus - usedGpus - orphanGpus

    val freeMemoryGb: Double
        get() = type.memoryGb - usedMemoryGb - orphanMemoryGb

    /** The largest of the shares of CPU, memory and GPU that placements reserve. */
    val load: Double
        get() =
            maxOf(
                usedCpus / type.cpus,
                usedMemoryGb / type.memoryGb,
                if (type.gpus > 0) usedGpus / type.gpus else 0.0,
            )

    /** Whether one more task like this has room. */
    fun fits(spec: JobSpec): Boolean {
        val tolerance = MachineType.RESOURCE_TOLERANCE
        return spec.cpus <= freeCpus + tolerance &&
            spec.gpus <= freeGpus + tolerance &&
            spec.memoryGb <= freeMemoryGb + tolerance
    }

    /** How many more tasks like this have room. */
    fun roomFor(spec: JobSpec): Int {
        val tolerance = MachineType.RESOURCE_TOLERANCE
        val byCpu = if (spec.cpus > 0) (freeCpus + tolerance) / spec.cpus else Double.MAX_VALUE
        val byGpu = if (spec.gpus > 0) (freeGpus + tolerance) / spec.gpus else Double.MAX_VALUE
        val byMemory =
            if (spec.memoryGb > 0) (freeMemoryGb + tolerance) / spec.memoryGb else Double.MAX_VALUE
        return minOf(byCpu, byGpu, byMemory).coerceIn(0.0, MAX_TASKS).toInt()
    }

    /** Reserves what a task needs. */
    fun reserve(spec: JobSpec) = add(spec, 1)

    /** Frees what a task needed. */
    fun free(spec: JobSpec) = add(spec, -1)

    /** No task is left: what rounding errors have added up is dropped. */
    fun clear() {
        serviceCpus = 0.0
        usedCpus = 0.0
        usedGpus = 0.0
        usedMemoryGb = 0.0
    }

    /** Reserves what these tasks need, instead of the orphans before. */
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
        const val MAX_TASKS = 10_000.0
    }
}
