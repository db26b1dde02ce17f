package wardmux.cloud

import wardmux.config.OperatorSettings
import wardmux.model.Machine
import wardmux.model.Maintenance
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePool
import wardmux.scheduling.MachinePools
import wardmux.scheduling.Planner

/**
 * Scales each machine pool out or in, so that its capacity matches the resources in use plus the
 * backlog of waiting jobs.
 */
class CapacityController(
    private val cluster: ClusterState,
    private val pools: MachinePools,
    private val planner: Planner,
    private val operators: OperatorSettings,
    private val demand: CapacityDemand,
    private val rentals: MachineRentals,
    private val preparation: ScaleInPreparation,
    private val scaleIn: ScaleIn,
) {
    /**
     * The capacity of a pool, in machines of its base type: [total], and the part of it on
     * [ordinary] machines, which are those that are not spot machines.
     */
    private class PoolCapacity(val total: Double, val ordinary: Double)

    /** Rents machines for single jobs that the demand of their pool does not cover. */
    val jobProvisioner = JobProvisioner(cluster, planner.eligibility, pools, rentals)

    /** The results of [smooth], by pool and kind of target. */
    private val smoothedTargets = HashMap<String, Double>()

    /** Rents machines for jobs that lack room, then scales every pool once. */
    fun scalePools() {
        for (job in planner.jobsShortOfRoom()) jobProvisioner.rentFor(
            job,
            pools.pools.flatMap { it.types },
        )
        val backlogs = demand.backlogs(pools)
        val ordinaryInUse = demand.ordinaryInUse(pools)
        val machines = cluster.machines.values.filter { !it.isDecommissioned }
        for (pool in pools.pools) {
            val poolMachines = machines.filter { pool.holds(it.type) }
            scalePool(pool, poolMachines, backlogs[pool] ?: Backlog(), ordinaryInUse[pool] ?: 0.0)
        }
        preparation.evictReplicas()
    }

    /**
     * Scales one pool towards three targets, each in machines of its base type: `target` is what
     * all its work needs, `urgentTarget` what the service-level objectives need, and
     * `ordinaryTarget` what the work needs that may not run on spot machines. Spot machines are
     * preferred; if none are available, ordinary machines are rented up to `urgentTarget` only.
     */
    private fun scalePool(
        pool: MachinePool,
        poolMachines: List<Machine>,
        backlog: Backlog,
        ordinaryInUse: Double,
    ) {
        val label = pool.base.label
        val inUse = poolMachines.sumOf { it.load * pool.weightOf(it.type) }
        val spareFactor = 1 + operators.spareShare
        val target =
            smooth("$label target", inUse * spareFactor + backlog.withinBootTime, SLOW_DECAY)
        val urgentTarget = smooth("$label urgent", inUse + backlog.withinObjectives, FAST_DECAY)
        val ordinaryTarget =
            smooth("$label ordinary", ordinaryInUse * spareFactor + backlog.ordinary, SLOW_DECAY)
        var capacity = capacityOf(pool, poolMachines)
        preparation.adjustCordons(
            pool,
            poolMachines,
            minOf(capacity.total - target, capacity.ordinary - ordinaryTarget),
        )
        capacity = capacityOf(pool, poolMachines)
        rent(pool, ordinaryTarget - capacity.ordinary, spot = false)
        capacity = capacityOf(pool, poolMachines)
        val missing = target - capacity.total
        if (missing + MACHINE_COUNT_ROUNDING >= 1 && !rent(pool, missing, spot = true))
            rent(pool, minOf(missing, urgentTarget - capacity.total), spot = false)
        scaleIn.returnIdle(pool, poolMachines, capacity.total - target, spot = true)
        val ordinarySurplus =
            minOf(capacity.total - urgentTarget, capacity.ordinary - ordinaryTarget)
        scaleIn.returnIdle(pool, poolMachines, ordinarySurplus, spot = false)
    }

    /** The capacity of [pool], including rental requests whose outcome is pending. */
    private fun capacityOf(pool: MachinePool, poolMachines: List<Machine>): PoolCapacity {
        val usable = poolMachines.filter { countsAsCapacity(it) }
        val ordinary = usable.filter { !it.spot }.sumOf { capacityOf(pool, it) }
        val spot = usable.filter { it.spot }.sumOf { capacityOf(pool, it) }
        val pendingOrdinary = pendingCapacity(pool, spot = false)
        val total = ordinary + spot + pendingOrdinary + pendingCapacity(pool, spot = true)
        return PoolCapacity(total, ordinary + pendingOrdinary)
    }

    /**
     * The capacity of [machine], in machines of the base type of [pool]. Of a machine that may not
     * get further tasks, because its heartbeats cannot list more, only what is in use counts.
     */
    private fun capacityOf(pool: MachinePool, machine: Machine): Double {
        val usableShare = if (machine.listingRoom > 0) 1.0 else machine.load
        return usableShare * pool.weightOf(machine.type)
    }

    /**
     * True if [machine] counts towards the capacity of its pool. A machine that an operators' drain
     * has to empty does not count, so that a replacement for it is rented, nor does one that gets
     * no tasks because a start has not reached it.
     */
    private fun countsAsCapacity(machine: Machine) =
        machine.isExpectedToServe && !machine.isScalingIn && machine.maintenance == Maintenance.NONE

    /** The capacity for which rental requests are pending, in machines of the base type. */
    private fun pendingCapacity(pool: MachinePool, spot: Boolean): Double =
        pool.types.sumOf { type ->
            val count = rentals.count { it.type.label == type.label && it.spot == spot }
            count * pool.weightOf(type)
        }

    /**
     * Requests machines for the [missing] capacity, of the cheapest available type of which about
     * one machine or more is missing. Returns false if no type of the pool is available for now.
     */
    private fun rent(pool: MachinePool, missing: Double, spot: Boolean): Boolean {
        val available =
            pool
                .cheapestFirst(spot)
                .associateWith { rentals.availableZones(it, spot) }
                .filterValues { it.isNotEmpty() }
        for ((type, zones) in available) {
            val count = (missing / pool.weightOf(type) + MACHINE_COUNT_ROUNDING).toInt()
            if (count <= 0) continue
            rentals.requestSpread(type, zones, count, spot)
            return true
        }
        return available.isNotEmpty()
    }

    /**
     * Follows an increase at once and a decrease slowly, by [decay] of the difference in each call.
     * A machine that is returned too early has to be rented and booted again.
     */
    private fun smooth(name: String, current: Double, decay: Double): Double {
        val previous = smoothedTargets[name] ?: current
        val value = maxOf(current, previous + (current - previous) * decay)
        smoothedTargets[name] = value
        return value
    }

    private companion object {
        /** The share of a decrease that `target` and `ordinaryTarget` follow in each call. */
        const val SLOW_DECAY = 0.03

        /** The share of a decrease that `urgentTarget` follows in each call. */
        const val FAST_DECAY = 0.1

        /** Added to a number of machines before it is rounded down: 0.6 machines count as one. */
        const val MACHINE_COUNT_ROUNDING = 0.4
    }
}
