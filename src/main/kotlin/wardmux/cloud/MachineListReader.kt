package wardmux.cloud

import wardmux.config.CloudLimits
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Reads the cloud's list of machines periodically, and updates the known machines from it. The list
 * may be outdated by up to [CloudLimits.listLagS].
 */
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
    private val listLag = limits.listLagS.seconds
    private val listTimeout = (limits.listLagS * LIST_TIMEOUT_IN_LAGS).seconds

    /** A list describes the machines as they were at most this long before it was requested. */
    private val maxListAge = (limits.listLagS * MAX_LAGS_OF_LIST).seconds + LIST_AGE_MARGIN
    private val electedAt = context.now
    private var nextReadAt = Micros.LONG_AGO
    private var isReading = false

    /**
     * True once the list was read in this leader's term, so that the machines that an earlier
     * leader rented are known.
     */
    var isRead = false
        private set

    /**
     * True if the list was read, or was unavailable for longer than [LIST_TIMEOUT_IN_LAGS] times
     * its lag, after which decisions no longer wait for it.
     */
    val isReadOrOverdue: Boolean
        get() = isRead || context.now - electedAt > listTimeout

    /** Starts to read the list if the next read is due and none is in progress. */
    fun tick() {
        if (context.now >= nextReadAt && !isReading && cloud.canSendRequest()) read()
    }

    private fun read() {
        isReading = true
        val requestedAt = context.now
        cloud.list { result ->
            isReading = false
            nextReadAt = context.now + listLag
            if (result is CloudResult.Ok) {
                isRead = true
                val discovered = result.value.count { recordEntry(it) }
                if (discovered > 0)
                    log.info("discovered {} unknown machines in the cloud's list", discovered)
                decommissionUnlisted(result.value, requestedAt)
            }
        }
    }

    /**
     * Updates the machine of [entry], and decommissions it if it failed or did not boot in time.
     * Returns true if the machine was not known before.
     */
    private fun recordEntry(entry: ListedMachine): Boolean {
        val id = MachineId(entry.id)
        if (registry.isDeleted(id)) return false
        val known = cluster.machines[id]
        val machine =
            known ?: registry.findOrAdd(id, entry.type, entry.zone, entry.spot) ?: return false
        machine.hasOnlyStaleHeartbeats = false
        machine.recordProviderConfirmation(context.now)
        machine.recordListing(context.wallTime, entry.heldS.seconds)
        if (known == null)
            log.debug("discovered machine {} in the cloud's list with status {}", id, entry.status)
        when (entry.status) {
            ListedMachine.FAILED -> {
                // The machine stopped without a request to delete it, so no task runs there any
                // more.
                cluster.releaseAll(machine, "listed as failed")
                decommissioning.decommission(machine, "failed")
            }
            ListedMachine.RUNNING -> machine.recordListedRunning(context.now)
            else -> {
                val bootTimeoutS = machine.type.bootS * BOOT_TIMEOUT_IN_BOOT_TIMES
                if (!machine.isUp && entry.heldS > bootTimeoutS)
                    decommissioning.decommission(machine, "does not come up")
            }
        }
        return known == null
    }

    /**
     * Decommissions the machines that are not up and that [list], which was requested at
     * [requestedAt], does not contain although it describes a later time than the provider's last
     * confirmation that they exist. Machines are listed until they are gone, so these were taken
     * back before their workers sent a heartbeat that could have been missed.
     */
    private fun decommissionUnlisted(list: List<ListedMachine>, requestedAt: Micros) {
        val listedIds = list.mapTo(HashSet()) { MachineId(it.id) }
        for (machine in cluster.machines.values) {
            if (machine.isUp || machine.isDecommissioned || machine.id in listedIds) continue
            val confirmedAt = machine.confirmedByProviderAt ?: continue
            if (requestedAt - confirmedAt > maxListAge)
                decommissioning.decommission(machine, "no longer listed")
        }
    }

    private companion object {
        /** How long decisions wait for the first list, as a multiple of its lag. */
        const val LIST_TIMEOUT_IN_LAGS = 4

        /**
         * The most that a list lags, as a multiple of its usual lag. Source: the cloud's protocol.
         */
        const val MAX_LAGS_OF_LIST = 2.0
        val LIST_AGE_MARGIN = 1.seconds

        /** A machine that is not up after this multiple of its boot time is decommissioned. */
        const val BOOT_TIMEOUT_IN_BOOT_TIMES = 3.0
    }
}
