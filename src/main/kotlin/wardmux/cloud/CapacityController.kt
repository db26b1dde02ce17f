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
    private class Stock(val all: Double, val ordinary: Double)

    /** Rents for single jobs. */
    val jobs = JobProvisioner(cluster, planner.eligibility, pools, rentals)
    private val smoothed = HashMap<String, Double>()

    /** Decides for all pools once. */
    fun decide() {
        for (job in planner.jobsShortOfRoom()) jobs.rentFor(job, pools.pools.flatMap { it.types })
        val backlogs = demand.backlogs(pools)
        val ordinaryInUse = demand.ordinaryInUse(pools)
        val machines = cluster.machines.values.filter { !it.isDecommissioned }
        for (pool in pools.pools) {
            val own = machines.filter { pool.holds(it.type) }
            decide(pool, own, backlogs[pool] ?: Backlog(), ordinaryInUse[pool] ?: 0.0)
        }
        preparation.moveReplicas()
    }

    private fun decide(
        pool: MachinePool,
        own: List<Machine>,
        backlog: Backlog,
        ordinaryInUse: Double,
    ) {
        val label = pool.base.label
        val inUse = own.sumOf { it.load * pool.weightOf(it.type) }
        val share = 1 + operators.spareShare
        val wanted = smooth("$label wanted", inUse * share + backlog.soon, SLOW_DECAY)
        val pressing = smooth("$label pressing", inUse + backlog.pressing, FAST_DECAY)
        val ordinary =
            smooth("$label ordinary", ordinaryInUse * share + backlog.ordinary, SLOW_DECAY)
        var stock = stock(pool, own)
        preparation.adjust(pool, own, minOf(stock.all - wanted, stock.ordinary - ordinary))
        stock = stock(pool, own)
        rent(pool, ordinary - stock.ordinary, spot = false)
        stock = stock(pool, own)
        val missing = wanted - stock.all
        if (missing + ROUNDING >= 1 && !rent(pool, missing, spot = true))
            rent(pool, minOf(missing, pressing - stock.all), spot = false)
        scaleIn.returnIdle(pool, own, stock.all - wanted, spot = true)
        val ordinarySurplus = minOf(stock.all - pressing, stock.ordinary - ordinary)
        scaleIn.returnIdle(pool, own, ordinarySurplus, spot = false)
    }

    private fun stock(pool: MachinePool, own: List<Machine>): Stock {
        val usable = own.filter { counts(it) }
        val ordinary = usable.filter { !it.spot }.sumOf { pool.weightOf(it.type) }
        val spot = usable.filter { it.spot }.sumOf { pool.weightOf(it.type) }
        val ordinaryComing = coming(pool, spot = false)
        val all = ordinary + spot + ordinaryComing + coming(pool, spot = true)
        return Stock(all, ordinary + ordinaryComing)
    }

    /** A machine that operators drain does not count, so that its replacement is rented. */
    private fun counts(machine: Machine) =
        machine.preemptionNoticeAt == null &&
            !machine.hasOnlyStaleHeartbeats &&
            !machine.isScalingIn &&
            machine.maintenance == Maintenance.NONE

    private fun coming(pool: MachinePool, spot: Boolean): Double =
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
            val count = (missing / pool.weightOf(type) + ROUNDING).toInt()
            if (count <= 0) continue
            rentals.requestSpread(type, zones, count, spot)
            return true
        }
        return available.isNotEmpty()
    }

    /** Rises at once and decays slowly: a machine returned too early has to boot again. */
    private fun smooth(name: String, now: Double, decay: Double): Double {
        val before = smoothed[name] ?: now
        val value = maxOf(now, before + (now - before) * decay)
        smoothed[name] = value
        return value
    }

    private companion object {
        /** Share of a decrease that is followed in each decision. */
        const val SLOW_DECAY = 0.03
        const val FAST_DECAY = 0.1

        /** Added before a number of machines is rounded down. */
        const val ROUNDING = 0.4
    }
}
