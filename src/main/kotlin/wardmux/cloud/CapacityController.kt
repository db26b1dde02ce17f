package wardmux.cloud

import wardmux.config.OperatorSettings
import wardmux.model.Machine
import wardmux.model.Maintenance
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePool
import wardmux.scheduling.MachinePools
import wardmux.scheduling.Planner

/** Scales each pool out or in, by what is in use and what waits. */
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
    /** The machines of a pool, counted in machines of its base type. */
    private class PoolCapacity(val total: Double, val ordinary: Double)

    /** Rents for single jobs. */
    val jobProvisioner = JobProvisioner(cluster, planner.eligibility, pools, rentals)
    private val smoothedValues = HashMap<String, Double>()

    /** Decides for all pools once. */
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

    private fun scalePool(
        pool: MachinePool,
        poolMachines: List<Machine>,
        backlog: Backlog,
        ordinaryInUse: Double,
    ) {
        val label = pool.base.label
        val inUse = poolMachines.sumOf { it.load * pool.weightOf(it.type) }
        val targetPerUse = 1 + operators.spareShare
        val target =
            smoothDecrease(
                "$label target",
                inUse * targetPerUse + backlog.withinBootTime,
                SLOW_DECAY_SHARE,
            )
        val urgentTarget =
            smoothDecrease("$label urgent", inUse + backlog.withinObjectives, FAST_DECAY_SHARE)
        val ordinaryTarget =
            smoothDecrease(
                "$label ordinary",
                ordinaryInUse * targetPerUse + backlog.ordinaryWithinBootTime,
                SLOW_DECAY_SHARE,
            )
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

    private fun capacityOf(pool: MachinePool, poolMachines: List<Machine>): PoolCapacity {
        val usable = poolMachines.filter { countsAsCapacity(it) }
        val ordinary = usable.filter { !it.spot }.sumOf { pool.weightOf(it.type) }
        val spot = usable.filter { it.spot }.sumOf { pool.weightOf(it.type) }
        val pendingOrdinary = pendingCapacity(pool, spot = false)
        val total = ordinary + spot + pendingOrdinary + pendingCapacity(pool, spot = true)
        return PoolCapacity(total, ordinary + pendingOrdinary)
    }

    /** A machine that operators drain does not count, so that its replacement is rented. */
    private fun countsAsCapacity(machine: Machine) =
        machine.preemptionNoticeAt == null &&
            !machine.hasOnlyStaleHeartbeats &&
            !machine.isScalingIn &&
            machine.maintenance == Maintenance.NONE

    private fun pendingCapacity(pool: MachinePool, spot: Boolean): Double =
        pool.types.sumOf { type ->
            val count = rentals.count { it.type.label == type.label && it.spot == spot }
            count * pool.weightOf(type)
        }

    /**
     * Requests machines of the cheapest available type of which about one or more are missing.
     * False if no type of the pool is available for now.
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

    /** Rises at once and decays slowly: a machine returned too early has to boot again. */
    private fun smoothDecrease(name: String, current: Double, decay: Double): Double {
        val previous = smoothedValues[name] ?: current
        val value = maxOf(current, previous + (current - previous) * decay)
        smoothedValues[name] = value
        return value
    }

    private companion object {
        /** Share of a decrease that is followed in each decision. */
        const val SLOW_DECAY_SHARE = 0.03
        const val FAST_DECAY_SHARE = 0.1

        /** Added before a number of machines is rounded down. */
        const val MACHINE_COUNT_ROUNDING = 0.4
    }
}
