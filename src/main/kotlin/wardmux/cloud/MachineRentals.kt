package wardmux.cloud

import wardmux.config.DeploymentConfig
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.seconds

/** A machine type in one zone, as spot or ordinary machine; the cloud rents by this kind. */
data class MachineKind(val type: MachineType, val zone: String, val spot: Boolean) {
    override fun toString() = "${type.label} in $zone, ${if (spot) "spot" else "ordinary"}"
}

/**
 * Sends rental requests to the cloud. Keeps track of the pending ones, and of the kinds of machines
 * for which the cloud had no capacity lately.
 */
class MachineRentals(
    private val context: CoreContext,
    environment: ProvisioningEnvironment,
    deployment: DeploymentConfig,
    operators: OperatorSettings,
    private val token: FencingToken,
) {
    private class PendingRental(val request: RentalRequest, val kind: MachineKind)

    private val log = logger<MachineRentals>()
    private val cloud = environment.cloud
    private val cluster = environment.cluster
    private val registry = environment.registry
    private val deploymentZones = deployment.zones
    private val noCapacityBackoff = operators.noCapacityBackoffS.seconds
    private val unavailableUntil = HashMap<MachineKind, Micros>()
    private val pending = LinkedHashMap<String, PendingRental>()

    /** When requests with an indeterminate outcome are repeated, by their ids. */
    private val retryAt = HashMap<String, Micros>()
    private var requestCounter = 0

    /**
     * The maximum number of pending requests: as many as the cloud's rate limit allows in a second,
     * but at least one.
     */
    private val maxPendingRequests = maxOf(1, deployment.cloud.rps.toInt())

    private var wasRefused = false

    /** Repeats due requests of which the outcome is indeterminate. */
    fun retryIndeterminate() {
        for ((id, at) in retryAt.toList()) {
            if (context.now < at || !cloud.canSendRequest()) continue
            retryAt.remove(id)
            pending[id]?.let { send(it) }
        }
    }

    /** The number of machines of the kinds that [matches] accepts in pending requests. */
    fun count(matches: (MachineKind) -> Boolean): Int =
        pending.values.filter { matches(it.kind) }.sumOf { it.request.count }

    /** True if a request for a kind that [matches] accepts is pending. */
    fun any(matches: (MachineKind) -> Boolean): Boolean = pending.values.any { matches(it.kind) }

    /**
     * The zones where no back-off applies to this kind of machine, those with the fewest machines
     * of it first.
     */
    fun availableZones(type: MachineType, spot: Boolean): List<String> =
        type.zones
            .filter { it in deploymentZones && isAvailable(MachineKind(type, it, spot)) }
            .sortedBy { zone ->
                cluster.machines.values.count {
                    it.zone == zone && it.type.label == type.label && it.spot == spot
                }
            }

    private fun isAvailable(kind: MachineKind) =
        context.now >= (unavailableUntil[kind] ?: Micros.LONG_AGO)

    /**
     * Requests [count] machines, spread evenly over [zones], at most [MAX_MACHINES_PER_REQUEST] in
     * each. Stops at the first request that cannot be sent.
     */
    fun requestSpread(type: MachineType, zones: List<String>, count: Int, spot: Boolean) {
        val perZone = (count + zones.size - 1) / zones.size
        var left = count
        for (zone in zones) {
            val here = minOf(perZone, left, MAX_MACHINES_PER_REQUEST)
            if (here <= 0 || !request(MachineKind(type, zone, spot), here)) return
            left -= here
        }
    }

    /**
     * Requests [count] machines of one kind, at most [MAX_MACHINES_PER_REQUEST]. Returns false if
     * no request can be sent for now.
     */
    fun request(kind: MachineKind, count: Int): Boolean {
        if (!cloud.canSendRequest() || pending.size >= maxPendingRequests) return false
        // The id is unique among all controllers, because each fencing token belongs to one
        // leader only.
        val id = "w${token.value}-${++requestCounter}"
        val limited = minOf(count, MAX_MACHINES_PER_REQUEST)
        val request = RentalRequest(id, kind.type.label, kind.zone, kind.spot, limited)
        val rental = PendingRental(request, kind)
        pending[id] = rental
        send(rental)
        return true
    }

    private fun send(rental: PendingRental) {
        val id = rental.request.id
        cloud.rent(rental.request) { result ->
            when (result) {
                is CloudResult.Ok -> {
                    pending.remove(id)
                    addRentedMachines(rental, result.value)
                }
                is CloudResult.Refused -> {
                    pending.remove(id)
                    if (result.noCapacity) backOff(rental.kind)
                }
                // Repeating the request is safe: with the same id it rents no further machines.
                is CloudResult.Indeterminate -> retryAt[id] = context.now + RENTAL_RETRY_DELAY
            }
        }
    }

    private fun addRentedMachines(rental: PendingRental, machines: List<String>) {
        val request = rental.request
        log.info(
            "rented {} of {} requested machines: {}",
            machines.size,
            request.count,
            rental.kind,
        )
        for (id in machines) {
            registry
                .findOrAdd(MachineId(id), request.type, request.zone, request.spot)
                ?.recordProviderConfirmation(context.now)
        }
        if (machines.size < request.count) backOff(rental.kind)
    }

    private fun backOff(kind: MachineKind) {
        unavailableUntil[kind] = context.now + noCapacityBackoff
        wasRefused = true
    }

    /**
     * True once after a request found no or not enough capacity, so that another kind can be
     * requested at once.
     */
    fun consumeRefusal(): Boolean = wasRefused.also { wasRefused = false }

    private companion object {
        val RENTAL_RETRY_DELAY = 1.seconds

        /** The cloud API's limit of machines in one rental request. */
        const val MAX_MACHINES_PER_REQUEST = 50
    }
}
