package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Machine types that are interchangeable because no open job needs the larger ones for their size.
 * The capacity and demand of a pool are counted in machines of its [base], the smallest of the
 * types.
 */
class MachinePool(
    /** The smallest type of the pool. */
    val base: MachineType,
    /** All types of the pool. */
    val types: List<MachineType>,
    private val demand: ResourceDemand,
) {
    private val weights =
        types.associate { it.label to demand.machinesNeeded(base) / demand.machinesNeeded(it) }

    /** True if [type] belongs to the pool. */
    fun holds(type: MachineType): Boolean = type.label in weights

    /** How many machines of the base type do the same work as one machine of [type]. */
    fun weightOf(type: MachineType): Double = weights.getValue(type.label)

    /**
     * The hourly price of a machine of [type], for each machine of the base type that it replaces.
     */
    fun priceOf(type: MachineType, spot: Boolean): Double = price(type, spot) / weightOf(type)

    /**
     * The types, those with the lowest price for their work first. The price includes the boot
     * time, during which a machine is paid for but does no work.
     */
    fun cheapestFirst(spot: Boolean): List<MachineType> =
        types.sortedBy { priceOf(it, spot) * (1 + it.bootS / TYPICAL_RENTAL_S) }

    /**
     * The price of a machine of [type] for its work, relative to the cheapest spot machine of the
     * pool.
     */
    fun relativeCost(type: MachineType, spot: Boolean): Double =
        priceOf(type, spot) / maxOf(types.minOf { priceOf(it, true) }, MIN_PRICE)

    /** The shortest time that a machine of the pool takes to boot, in seconds. */
    val shortestBootS: Double = types.minOf { it.bootS }

    private fun price(type: MachineType, spot: Boolean) = if (spot) type.spotPrice else type.price

    private companion object {
        const val MIN_PRICE = 1e-6

        /** How long a machine is typically rented; its boot time is paid once in that time. */
        const val TYPICAL_RENTAL_S = 300.0
    }
}

/** The total resources that the open jobs of a pool request. */
class ResourceDemand {
    private var cpus = 0.0
    private var gpus = 0.0
    private var memoryGb = 0.0

    /** Adds the resources of [tasks] tasks like [spec]. */
    fun add(spec: JobSpec, tasks: Int) {
        cpus += spec.cpus * tasks
        gpus += spec.gpus * tasks
        memoryGb += spec.memoryGb * tasks
    }

    /**
     * How many machines of [type] would hold the demand, judged by the resource that runs out
     * first. Without any demand this is the number for one CPU, so that types can still be
     * compared.
     */
    fun machinesNeeded(type: MachineType): Double {
        if (cpus <= 0) return 1 / type.cpus
        val byGpu = if (gpus > 0) gpus / type.gpus else 0.0
        return maxOf(cpus / type.cpus, memoryGb / type.memoryGb, byGpu)
    }
}

/** Provides the machine types that the cloud offers. */
fun interface MachineTypeSource {
    /** The types that are offered now; empty while they are not known. */
    fun types(): List<MachineType>
}

/**
 * Decides which machine types a task counts as an exact fit for. Usually this is only the smallest
 * type that holds the task, so that large machines stay free for large tasks. A type that no open
 * job needs for its size does not have to stay free: it joins the pool of the next smaller type
 * that is needed, and tasks that fit that type exactly then fit it exactly too.
 */
class MachinePools(private val context: CoreContext, private val types: MachineTypeSource) {
    /**
     * When each type was last the smallest that holds the tasks of an open job, by the label of the
     * type.
     */
    private val lastNeededAt = HashMap<String, Micros>()
    private var pooledTypes: List<MachineType> = emptyList()
    private var nextRefreshAt = Micros.LONG_AGO

    /** The machine types that the cloud offers now. */
    val offeredTypes: List<MachineType>
        get() = types.types()

    /** All pools; each machine type belongs to exactly one of them. */
    var pools: List<MachinePool> = emptyList()
        private set

    private var poolByLabel: Map<String, MachinePool> = emptyMap()

    /** Rebuilds the pools if that was not done recently or if the offered types have changed. */
    fun refreshIfDue(jobs: Collection<Job>) {
        if (offeredTypes != pooledTypes || context.now >= nextRefreshAt) refresh(jobs)
    }

    /** Rebuilds the pools by what the open jobs among [jobs] need. */
    fun refresh(jobs: Collection<Job>) {
        nextRefreshAt = context.now + REFRESH_PERIOD
        pooledTypes = offeredTypes
        val open = jobs.filter { !it.hasEnded && !it.allTasksDone }
        val demands = HashMap<String, ResourceDemand>()
        for (job in open) {
            val smallest = smallestFor(job.spec) ?: continue
            lastNeededAt[smallest.label] = context.now
            demands.getOrPut(smallest.label) { ResourceDemand() }.add(job.spec, job.spec.tasks)
        }
        rebuildPools(demands)
    }

    /**
     * The smallest machine type that holds a task like [spec] and that its constraints allow, or
     * null if there is none.
     */
    fun smallestFor(spec: JobSpec): MachineType? =
        offeredTypes.filter { it.allowedFor(spec) }.minByOrNull { it.cpus }

    /** The pool that a task like [spec] belongs to, or null if no machine type holds the task. */
    fun poolFor(spec: JobSpec): MachinePool? = smallestFor(spec)?.let { poolByLabel[it.label] }

    /** The labels of the machine types that a task like [spec] fits exactly. */
    fun exactTypesFor(spec: JobSpec): Set<String> {
        val smallest = smallestFor(spec) ?: return emptySet()
        val pool = poolByLabel[smallest.label] ?: return setOf(smallest.label)
        return pool.types.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
    }

    /**
     * The price of a machine for its work, relative to the cheapest of its pool; 1 if its type is
     * in no pool.
     */
    fun relativeCost(type: MachineType, spot: Boolean): Double =
        poolByLabel[type.label]?.relativeCost(type, spot) ?: 1.0

    private fun rebuildPools(demands: Map<String, ResourceDemand>) {
        val bySize = pooledTypes.sortedBy { it.cpus }
        val groups = ArrayList<ArrayList<MachineType>>()
        for (type in bySize) {
            if (groups.isEmpty() || isNeeded(type)) groups.add(arrayListOf(type))
            else groups.last().add(type)
        }
        pools =
            groups.map {
                MachinePool(it.first(), it, demands[it.first().label] ?: ResourceDemand())
            }
        poolByLabel = pools.flatMap { pool -> pool.types.map { it.label to pool } }.toMap()
    }

    private fun isNeeded(type: MachineType): Boolean {
        val lastNeeded = lastNeededAt[type.label] ?: return false
        return context.now - lastNeeded <= SIZE_NEED_RETENTION
    }

    private companion object {
        val REFRESH_PERIOD = 250.milliseconds

        /**
         * How long a type counts as needed after the last open job that needed its size. Such jobs
         * tend to come again, and their machines should not be filled with small tasks in between.
         */
        val SIZE_NEED_RETENTION = 600.seconds
    }
}
