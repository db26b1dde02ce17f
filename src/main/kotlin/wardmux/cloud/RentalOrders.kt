package wardmux.cloud

import wardmux.config.CloudLimits
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.fleet.MachineRegistry
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/** One kind of thing that the cloud rents. */
data class MachineKind(val type: MachineType, val zone: String, val spot: Boolean) {
    override fun toString() = "${type.label} in $zone, ${if (spot) "spot" else "ordinary"}"
}

/** Rental requests under way, and kinds of machines that were refused lately. */
class RentalOrders(
    private val context: CoreContext,
    private val cloud: CloudClient,
    private val cluster: ClusterState,
    private val registry: MachineRegistry,
    private val operators: OperatorSettings,
    private val token: FencingToken,
    deployment: CloudLimits,
    private val zones: List<String>,
) {
    private class Pending(val order: RentalOrder, val kind: MachineKind)

    private val log = logger<RentalOrders>()
    private val refusedUntil = HashMap<MachineKind, Micros>()
    private val pending = LinkedHashMap<String, Pending>()
    private val retryAt = HashMap<String, Micros>()
    private var counter = 0

    /** Requests that may be open at once: what the cloud takes in a second, and one at least. */
    private val mostPending = maxOf(1, deployment.rps.toInt())

    /** Something was refused, so that another kind may be asked for now. */
    private var refused = false

    /** Sends requests again of which it is not known whether they were carried out. */
    fun retry() {
        for ((name, at) in retryAt.toList()) {
            if (context.now < at || !cloud.ready()) continue
            retryAt.remove(name)
            pending[name]?.let { ask(it) }
        }
    }

    /** How many machines of the kinds that [which] picks are asked for. */
    fun count(which: (MachineKind) -> Boolean): Int =
        pending.values.filter { which(it.kind) }.sumOf { it.order.count }

    /** Machines of the kinds that [which] picks are asked for. */
    fun any(which: (MachineKind) -> Boolean): Boolean = pending.values.any { which(it.kind) }

    /** Zones where this kind was not refused lately, those with the fewest such machines first. */
    fun openZones(type: MachineType, spot: Boolean): List<String> =
        type.zones
            .filter { it in zones && isOpen(MachineKind(type, it, spot)) }
            .sortedBy { zone ->
                cluster.machines.values.count {
                    it.zone == zone && it.type.label == type.label && it.spot == spot
                }
            }

    private fun isOpen(kind: MachineKind) = context.now >= (refusedUntil[kind] ?: Micros.LONG_AGO)

    /** Asks for machines, spread over the zones that are [open]. */
    fun spread(type: MachineType, open: List<String>, count: Int, spot: Boolean) {
        val share = (count + open.size - 1) / open.size
        var left = count
        for (zone in open) {
            val here = minOf(share, left, MOST_AT_ONCE)
            if (here <= 0 || !place(MachineKind(type, zone, spot), here)) return
            left -= here
        }
    }

    /** Asks for machines of one kind; false if no more can be asked for now. */
    fun place(kind: MachineKind, count: Int): Boolean {
        if (!cloud.ready() || pending.size >= mostPending) return false
        // Never used again, by this controller or another: a token is one leader's alone.
        val name = "w${token.value}-${++counter}"
        val most = minOf(count, MOST_AT_ONCE)
        val order = RentalOrder(name, kind.type.label, kind.zone, kind.spot, most)
        val request = Pending(order, kind)
        pending[name] = request
        ask(request)
        return true
    }

    private fun ask(request: Pending) {
        val order = request.order
        cloud.hire(order) { result ->
            when (result) {
                is CloudResult.Ok -> {
                    pending.remove(order.hire)
                    rented(request, result.value)
                }
                is CloudResult.Refused -> {
                    pending.remove(order.hire)
                    if (result.noCapacity) pause(request.kind)
                }
                // Perhaps rented: the same request again rents nothing new.
                is CloudResult.Indeterminate -> retryAt[order.hire] = context.now + RETRY
            }
        }
    }

    private fun rented(request: Pending, machines: List<String>) {
        val order = request.order
        log.info("rented {} of {}: {}", machines.size, order.count, request.kind)
        for (id in machines) registry.findOrAdd(MachineId(id), order.type, order.zone, order.spot)
        if (machines.size < order.count) pause(request.kind)
    }

    private fun pause(kind: MachineKind) {
        refusedUntil[kind] = context.now + operators.refusedPauseS.seconds
        refused = true
    }

    /** True once after a refusal. */
    fun takeRefused(): Boolean = refused.also { refused = false }

    private companion object {
        val RETRY = 1.seconds

        /** What the protocol allows in one request. */
        const val MOST_AT_ONCE = 50
    }
}
