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

/** A kind of machine that the cloud rents. */
data class MachineKind(val type: MachineType, val zone: String, val spot: Boolean) {
    override fun toString() = "${type.label} in $zone, ${if (spot) "spot" else "ordinary"}"
}

/** The pending rental requests, and the kinds of machines that are unavailable for now. */
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
    private val retryAt = HashMap<String, Micros>()
    private var requestCounter = 0

    /** The requests that the cloud takes in a second, and one at least. */
    private val maxPendingRequests = maxOf(1, deployment.cloud.rps.toInt())

    private var wasRefused = false

    /** Repeats requests of which it is not known whether they were carried out. */
    fun retryIndeterminate() {
        for ((id, at) in retryAt.toList()) {
            if (context.now < at || !cloud.canSendRequest()) continue
            retryAt.remove(id)
            pending[id]?.let { send(it) }
        }
    }

    /** How many machines of the kinds that [matches] accepts are being requested. */
    fun count(matches: (MachineKind) -> Boolean): Int =
        pending.values.filter { matches(it.kind) }.sumOf { it.request.count }

    /** True if machines of the kinds that [matches] accepts are being requested. */
    fun any(matches: (MachineKind) -> Boolean): Boolean = pending.values.any { matches(it.kind) }

    /** Zones where the kind is not known to be unavailable, those with the fewest of it first. */
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

    /** Requests [count] machines, spread over the available [zones]. */
    fun requestSpread(type: MachineType, zones: List<String>, count: Int, spot: Boolean) {
        val perZone = (count + zones.size - 1) / zones.size
        var left = count
        for (zone in zones) {
            val here = minOf(perZone, left, MAX_MACHINES_PER_REQUEST)
            if (here <= 0 || !request(MachineKind(type, zone, spot), here)) return
            left -= here
        }
    }

    /** Requests machines of one kind; false if no request can be sent for now. */
    fun request(kind: MachineKind, count: Int): Boolean {
        if (!cloud.canSendRequest() || pending.size >= maxPendingRequests) return false
        // Unique among all controllers, since a fencing token belongs to one leader.
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
                // Idempotent: the same request again rents nothing new.
                is CloudResult.Indeterminate -> retryAt[id] = context.now + RENTAL_RETRY_DELAY
            }
        }
    }

    private fun addRentedMachines(rental: PendingRental, machines: List<String>) {
        val request = rental.request
        log.info("rented {} of {}: {}", machines.size, request.count, rental.kind)
        for (id in machines) registry.findOrAdd(
            MachineId(id),
            request.type,
            request.zone,
            request.spot,
        )
        if (machines.size < request.count) backOff(rental.kind)
    }

    private fun backOff(kind: MachineKind) {
        unavailableUntil[kind] = context.now + noCapacityBackoff
        wasRefused = true
    }

    /** True once after a refusal, so that another kind can be requested at once. */
    fun consumeRefusal(): Boolean = wasRefused.also { wasRefused = false }

    private companion object {
        val RENTAL_RETRY_DELAY = 1.seconds

        /** The protocol's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 50
    }
}
