package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Machine types that stand in for each other, because no open work needs the larger ones for their
 * size. What a pool holds and lacks is counted in machines of its [base], the smallest of them.
 */
class MachinePool(
    /** The smallest type; in a pool of one, that type. */
    val base: MachineType,
    /** All types of the pool. */
    val types: List<MachineType>,
    private val demand: ResourceDemand,
) {
    private val weights =
        types.associate { it.label to demand.machinesNeeded(base) / demand.machinesNeeded(it) }

    /** True if [type] is one of the pool's. */
    fun holds(type: MachineType): Boolean = type.label in weights

    /** How many machines of the base type do the work of one of [type]. */
    fun weightOf(type: MachineType): Double = weights.getValue(type.label)

    /** The price an hour of a machine of [type], for each base machine that it stands for. */
    fun priceOf(type: MachineType, spot: Boolean): Double = price(type, spot) / weightOf(type)

    /** The types by their price for the work that they do, the time of their boot included. */
    fun cheapestFirst(spot: Boolean): List<MachineType> =
        types.sortedBy { priceOf(it, spot) * (1 + it.bootS / TYPICAL_RENTAL_S) }

    /** The price of a machine of [type] for its work, relative to the cheapest of the pool. */
    fun relativeCost(type: MachineType, spot: Boolean): Double =
        priceOf(type, spot) / maxOf(types.minOf { priceOf(it, true) }, MIN_PRICE)

    /** The shortest time that a machine of the pool takes to boot, in seconds. */
    val shortestBootS: Double = types.minOf { it.bootS }

    private fun price(type: MachineType, spot: Boolean) = if (spot) type.spotPrice else type.price

    private companion object {
        const val MIN_PRICE = 1e-6

        /** For how long a machine is rented as a rule; its boot is paid once in that time. */
        const val TYPICAL_RENTAL_S = 300.0
    }
}

/** The resources that the open jobs of a pool request together. */
class ResourceDemand {
    private var cpus = 0.0
    private var gpus = 0.0
    private var memoryGb = 0.0

    /** Counts [tasks] tasks more like this. */
    fun add(spec: JobSpec, tasks: Int) {
        cpus += spec.cpus * tasks
        gpus += spec.gpus * tasks
        memoryGb += spec.memoryGb * tasks
    }

    /** How many machines of this type would hold it, by the resource that runs out first. */
    fun machinesNeeded(type: MachineType): Double {
        if (cpus <= 0) return 1 / type.cpus
        val byGpu = if (gpus > 0) gpus / type.gpus else 0.0
        return maxOf(cpus / type.cpus, memoryGb / type.memoryGb, byGpu)
    }
}

/** Where the machine types that the cloud offers are read. */
fun interface MachineTypeSource {
    /** The types that are offered now; none while they are not known. */
    fun types(): List<MachineType>
}

/**
 * Tells which machine types a task counts as an exact fit for. Usually that is the smallest one
 * that holds it, so that large machines stay free for large tasks. A type that nothing open needs
 * for its size has nothing to stay free for: it joins the pool of the next smaller type that is
 * needed, and what fits that fits it exactly too.
 */
class MachinePools(private val context: CoreContext, private val types: MachineTypeSource) {
    /** When a type was last the smallest for an open job, by its label. */
    private val lastNeededAt = HashMap<String, Micros>()
    private var pooledTypes: List<MachineType> = emptyList()
    private var nextRefreshAt = Micros.LONG_AGO

    /** The machine types that the cloud offers now. */
    val offeredTypes: List<MachineType>
        get() = types.types()

    /** All pools; each type is in one of them. */
    var pools: List<MachinePool> = emptyList()
        private set

    private var poolByLabel: Map<String, MachinePool> = emptyMap()

    /** Divides the types anew if that was not done lately or the types have changed. */
    fun refreshIfDue(jobs: Collection<Job>) {
        if (offeredTypes != pooledTypes || context.now >= nextRefreshAt) refresh(jobs)
    }

    /** Divides the types anew by what the open ones of [jobs] need. */
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

    /** The smallest machine type that a task like this fits, or null. */
    fun smallestFor(spec: JobSpec): MachineType? =
        offeredTypes.filter { it.allowedFor(spec) }.minByOrNull { it.cpus }

    /** The pool that a task like this is counted in, or null if it fits no machine. */
    fun poolFor(spec: JobSpec): MachinePool? = smallestFor(spec)?.let { poolByLabel[it.label] }

    /** The labels of the types that a task like this fits exactly. */
    fun exactTypesFor(spec: JobSpec): Set<String> {
        val smallest = smallestFor(spec) ?: return emptySet()
        val pool = poolByLabel[smallest.label] ?: return setOf(smallest.label)
        return pool.types.filter { it.allowedFor(spec) }.mapTo(HashSet()) { it.label }
    }

    /** The price of a machine for its work, relative to the cheapest of its pool. */
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

        /** Work that was there comes again: its machines are not filled up meanwhile. */
        val SIZE_NEED_RETENTION = 600.seconds
    }
}
