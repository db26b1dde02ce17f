package wardmux.cloud

import wardmux.config.CloudLimits
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.seconds

/** Reads the cloud's list of machines, which lags behind by up to the limit that it states. */
class MachineListReader(
    private val context: CoreContext,
    environment: ProvisioningEnvironment,
    limits: CloudLimits,
) {
    private val log = logger<MachineListReader>()
    private val cloud = environment.cloud
    private val cluster = environment.cluster
    private val registry = environment.registry
    private val decommissioning = environment.decommissioning
    private val lag = limits.listLagS.seconds
    private val timeout = (limits.listLagS * MAX_LAGS).seconds
    private val electedAt = context.now
    private var nextAt = Micros.LONG_AGO
    private var isReading = false

    /** The list was read in this term, so that machines of an earlier leader are known. */
    var isRead = false
        private set

    /** The list was read, or has not been available for so long that it is not waited for. */
    val isReadOrOverdue: Boolean
        get() = isRead || context.now - electedAt > timeout

    /** Reads the list if that is due. */
    fun tick() {
        if (context.now >= nextAt && !isReading && cloud.isReady()) read()
    }

    private fun read() {
        isReading = true
        cloud.list { result ->
            isReading = false
            nextAt = context.now + lag
            if (result is CloudResult.Ok) {
                isRead = true
                val discovered = result.value.count { observe(it) }
                if (discovered > 0) log.info("discovered {} machines in the list", discovered)
            }
        }
    }

    /** True if the machine was not known. */
    private fun observe(entry: ListedMachine): Boolean {
        val id = MachineId(entry.id)
        if (registry.isDeleted(id)) return false
        val known = cluster.machines[id]
        val machine =
            known ?: registry.findOrAdd(id, entry.type, entry.zone, entry.spot) ?: return false
        machine.hasOnlyStaleHeartbeats = false
        machine.recordListing(context.wallTime, entry.heldS.seconds)
        if (known == null) log.debug("discovered {} in the list: {}", id, entry.status)
        when (entry.status) {
            ListedMachine.FAILED -> {
                // It stopped by itself: nothing runs there.
                cluster.releaseAll(machine, "listed as failed")
                decommissioning.decommission(machine, "failed")
            }
            ListedMachine.RUNNING -> Unit
            else -> {
                val bootTimeoutS = machine.type.bootS * BOOT_TIMEOUT_BOOTS
                if (!machine.isUp && entry.heldS > bootTimeoutS)
                    decommissioning.decommission(machine, "does not come up")
            }
        }
        return known == null
    }

    private companion object {
        /** The list is not waited for beyond so many times its lag. */
        const val MAX_LAGS = 4
        const val BOOT_TIMEOUT_BOOTS = 3.0
    }
}
