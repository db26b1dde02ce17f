package wardmux.cloud

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Deletes decommissioned machines through the cloud's API, and their records some time later. */
class MachineDeletion(private val context: CoreContext, environment: ProvisioningEnvironment) {
    private class ExpiringRecord(val expiresAt: Micros, val machine: Machine)

    private val log = logger<MachineDeletion>()
    private val cloud = environment.cloud
    private val cluster = environment.cluster
    private val registry = environment.registry
    private val decommissioning = environment.decommissioning
    private var nextRequestAt = Micros.LONG_AGO
    private val expiringRecords = ArrayDeque<ExpiringRecord>()

    /**
     * Sends the next deletion request and drops expired records, where due. The caller must hold a
     * valid leader lease.
     */
    fun tick() {
        deleteDecommissioned()
        dropExpiredRecords()
    }

    private fun deleteDecommissioned() {
        if (context.now < nextRequestAt || !cloud.canSendRequest()) return
        val due = cluster.machines.values.filter { it.isDeletionDue }.take(MAX_MACHINES_PER_REQUEST)
        if (due.isEmpty()) return
        nextRequestAt = context.now + REQUEST_OUTCOME_TIMEOUT
        cloud.delete(due.map { it.id.value }) { result ->
            nextRequestAt =
                context.now + if (result is CloudResult.Ok) Micros.ZERO else DELETION_RETRY_DELAY
            if (result is CloudResult.Ok) for (machine in due) recordDeletion(machine)
        }
    }

    private fun recordDeletion(machine: Machine) {
        log.info(
            "deleted machine {}, which was decommissioned with reason: {}",
            machine.id,
            machine.decommissionReason,
        )
        cluster.releaseAll(machine, "deleted")
        cluster.machines.remove(machine.id)
        registry.markDeleted(machine.id)
        expiringRecords.addLast(ExpiringRecord(context.now + DELETED_RECORD_RETENTION, machine))
    }

    private fun dropExpiredRecords() {
        while (true) {
            val first = expiringRecords.firstOrNull() ?: return
            if (context.now < first.expiresAt) return
            decommissioning.dropRecord(first.machine)
            expiringRecords.removeFirst()
        }
    }

    private companion object {
        val DELETION_RETRY_DELAY = 1.seconds

        /**
         * How long the record of a deleted machine is kept. The cloud's list lags and may still
         * show the machine; the record keeps it out of use.
         */
        val DELETED_RECORD_RETENTION = 60.seconds

        /** The next request waits for the outcome of the last one, but not longer than this. */
        val REQUEST_OUTCOME_TIMEOUT = 6.seconds

        /** The cloud API's limit of machines in one deletion request. */
        const val MAX_MACHINES_PER_REQUEST = 100
    }
}
