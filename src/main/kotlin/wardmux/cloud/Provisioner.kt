package wardmux.cloud

import wardmux.config.CloudLimits
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.fleet.Fleet
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Maintenance
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePool
import wardmux.scheduling.MachinePools
import wardmux.scheduling.Planner

/** Rents what the waiting work needs, returns what costs more than it saves. */
class Provisioner(
    private val context: CoreContext,
    private val cloud: CloudClient,
    private val pools: MachinePools,
    private val cluster: ClusterState,
    private val fleet: Fleet,
    private val planner: Planner,
    private val operators: OperatorSettings,
    private val deployment: CloudLimits,
    private val demand: CapacityDemand,
    private val orders: RentalOrders,
    private val drainer: MachineDrainer,
    private val decommission: (Machine, String) -> Unit,
    private val dropDecommissionRecord: (Machine) -> Unit,
) {
    private class ExpiringRecord(val at: Micros, val machine: Machine)

    /** The machines of a pool, counted in machines of its base type. */
    private class Stock(val all: Double, val ordinary: Double)

    private val log = logger<Provisioner>()
    /** Rents for single jobs. */
    val jobs = JobProvisioner(cluster, planner.eligibility, orders)
    private val smoothed = HashMap<String, Double>()
    private val electedAt = context.now
    private var decideAt = Micros.LONG_AGO
    private var listAt = Micros.LONG_AGO
    private var listing = false

    /** What an earlier leader rented is known: the list was had under this one. */
    var listed = false
        private set

    private var deleteAt = Micros.LONG_AGO
    private val spending = Spending()
    private val expiringDecommissions = ArrayDeque<ExpiringRecord>()

    /** Does what is due; without a valid lease the leader only looks at what there is. */
    fun tick(leaseIsValid: Boolean) {
        if (context.now >= listAt && !listing && cloud.ready()) list()
        if (!leaseIsValid) return
        deleteDecommissioned()
        dropExpiredRecords()
        orders.retry()
        // Until the list has been seen, what an earlier leader rented isn't known.
        val informed = listed || context.now - electedAt > (deployment.listLagS * LIST_LAGS).seconds
        if (informed && (context.now >= decideAt || orders.takeRefused())) {
            decideAt = context.now + PERIOD
            decide()
            spending.tell(context.now, cluster.machines.values)
        }
    }

    private fun list() {
        listing = true
        cloud.list { result ->
            listing = false
            listAt = context.now + deployment.listLagS.seconds
            if (result is CloudResult.Ok) {
                listed = true
                val unknown = result.value.count { take(it) }
                if (unknown > 0) log.info("{} machines are listed that were not known", unknown)
            }
        }
    }

    /** True if the machine was not known. */
    private fun take(entry: ListedMachine): Boolean {
        val id = MachineId(entry.id)
        if (id in fleet.gone) return false
        val known = cluster.machines[id]
        val machine = known ?: fleet.machine(id, entry.type, entry.zone, entry.spot) ?: return false
        machine.hasOnlyStaleHeartbeats = false
        machine.listed(context.wallTime, entry.heldS.seconds)
        if (known == null) log.debug("{} is listed as {} and was not known", id, entry.status)
        when (entry.status) {
            "failed" -> {
                // It stopped by itself: nothing runs there.
                cluster.clear(machine, "listed as failed")
                decommission(machine, "failed")
            }
            "running" -> Unit
            else -> {
                val patience = machine.type.bootS * BOOT_PATIENCE
                if (!machine.isUp && entry.heldS > patience)
                    decommission(machine, "does not come up")
            }
        }
        return known == null
    }

    private fun deleteDecommissioned() {
        if (context.now < deleteAt || !cloud.ready()) return
        val due = cluster.machines.values.filter { it.deleting }.take(MOST_DELETED)
        if (due.isEmpty()) return
        deleteAt = context.now + DELETE_TIME
        cloud.delete(due.map { it.id.value }) { result ->
            deleteAt = context.now + if (result is CloudResult.Ok) Micros.ZERO else RETRY
            if (result is CloudResult.Ok) for (machine in due) deleted(machine)
        }
    }

    private fun deleted(machine: Machine) {
        log.info("{} is deleted: {}", machine.id, machine.decommissionReason)
        cluster.clear(machine, "deleted")
        cluster.machines.remove(machine.id)
        fleet.gone.add(machine.id)
        expiringDecommissions.addLast(ExpiringRecord(context.now + RECORD_KEPT, machine))
    }

    private fun dropExpiredRecords() {
        while (true) {
            val first = expiringDecommissions.firstOrNull() ?: return
            if (context.now < first.at) return
            dropDecommissionRecord(first.machine)
            expiringDecommissions.removeFirst()
        }
    }

    private fun decide() {
        for (job in planner.shortOfRoom()) jobs.rentFor(job, pools.pools.flatMap { it.types })
        val backlogs = demand.backlogs(pools)
        val ordinaryInUse = demand.ordinaryInUse(pools)
        val machines = cluster.machines.values.filter { !it.decommissioned }
        for (pool in pools.pools) {
            val own = machines.filter { pool.holds(it.type) }
            decide(pool, own, backlogs[pool] ?: Backlog(), ordinaryInUse[pool] ?: 0.0)
        }
        drainer.moveReplicas()
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
        val wanted = smooth("$label wanted", inUse * share + backlog.soon, SLOWLY)
        val pressing = smooth("$label pressing", inUse + backlog.pressing, QUICKLY)
        val ordinary = smooth("$label ordinary", ordinaryInUse * share + backlog.ordinary, SLOWLY)
        var have = stock(pool, own)
        drainer.adjust(pool, own, minOf(have.all - wanted, have.ordinary - ordinary))
        have = stock(pool, own)
        rent(pool, ordinary - have.ordinary, spot = false)
        have = stock(pool, own)
        val missing = wanted - have.all
        if (missing + ROUNDING >= 1 && !rent(pool, missing, spot = true))
            rent(pool, minOf(missing, pressing - have.all), spot = false)
        giveBack(pool, own, have.all - wanted, spot = true)
        val dear = minOf(have.all - pressing, have.ordinary - ordinary)
        giveBack(pool, own, dear, spot = false)
    }

    private fun stock(pool: MachinePool, own: List<Machine>): Stock {
        val usable = own.filter { counts(it) }
        val ordinary = usable.filter { !it.spot }.sumOf { pool.weightOf(it.type) }
        val spot = usable.filter { it.spot }.sumOf { pool.weightOf(it.type) }
        val ordinaryComing = coming(pool, spot = false)
        val all = ordinary + spot + ordinaryComing + coming(pool, spot = true)
        return Stock(all, ordinary + ordinaryComing)
    }

    /** A machine that operators drain counts as gone, so that its room is rented elsewhere. */
    private fun counts(machine: Machine) =
        machine.preemptionNoticeAt == null &&
            !machine.hasOnlyStaleHeartbeats &&
            !machine.isScalingIn &&
            machine.maintenance == Maintenance.NONE

    private fun coming(pool: MachinePool, spot: Boolean): Double =
        pool.types.sumOf { type ->
            val count = orders.count { it.type.label == type.label && it.spot == spot }
            count * pool.weightOf(type)
        }

    /**
     * Asks for machines of the cheapest type that is to be had, where at least about one of it is
     * missing. False if no type of the pool is to be had for now.
     */
    private fun rent(pool: MachinePool, missing: Double, spot: Boolean): Boolean {
        val open =
            pool
                .cheapestFirst(spot)
                .associateWith { orders.openZones(it, spot) }
                .filterValues { it.isNotEmpty() }
        for ((type, zones) in open) {
            val count = (missing / pool.weightOf(type) + ROUNDING).toInt()
            if (count <= 0) continue
            orders.spread(type, zones, count, spot)
            return true
        }
        return open.isNotEmpty()
    }

    /** Rises at once and falls slowly: a machine given back too early is booted again. */
    private fun smooth(name: String, now: Double, part: Double): Double {
        val before = smoothed[name] ?: now
        val value = maxOf(now, before + (now - before) * part)
        smoothed[name] = value
        return value
    }

    /** Gives back idle machines that are more than is wanted, the dearest first. */
    private fun giveBack(pool: MachinePool, own: List<Machine>, surplus: Double, spot: Boolean) {
        val drained = own.filter { it.isScalingIn && it.isEmpty && it.spot == spot }
        for (machine in drained) if (idleForLong(pool, machine)) decommission(machine, "emptied")
        var left = surplus + 1 - SURPLUS
        if (left < 1) return
        val gangs = planner.shortOfRoom().filter { it.spec.isGang && !it.isFailing }
        val idle = own.filter { it.isUp && it.isEmpty && !it.decommissioned && it.spot == spot }
        for (machine in idle.sortedByDescending { pool.dearness(it.type, it.spot) }) {
            if (left < pool.weightOf(machine.type) || !idleForLong(pool, machine)) continue
            // One that a gang waits for more of: it would be rented again at once, and go again.
            if (gangs.any { planner.eligibility.allowed(it.spec, machine) }) continue
            left -= pool.weightOf(machine.type)
            decommission(machine, "idle")
        }
    }

    /** To boot it again would cost about as much; a dear one is kept for as much shorter. */
    private fun idleForLong(pool: MachinePool, machine: Machine): Boolean {
        val dearness = pool.dearness(machine.type, machine.spot)
        val keep = (operators.idleKeepBoots * machine.type.bootS / dearness).seconds
        return context.now - machine.idleSince > keep
    }

    private companion object {
        val PERIOD = 1.seconds
        val RETRY = 1.seconds

        /** Late lists may show a deleted machine for a while; its record then keeps it out. */
        val RECORD_KEPT = 60.seconds
        val DELETE_TIME = 6.seconds

        /** What the protocol allows in one request. */
        const val MOST_DELETED = 100

        /** The list is not waited for beyond so many times its lag. */
        const val LIST_LAGS = 4
        const val BOOT_PATIENCE = 3.0
        const val SLOWLY = 0.03
        const val QUICKLY = 0.1
        const val SURPLUS = 0.9
        const val ROUNDING = 0.4
    }
}
