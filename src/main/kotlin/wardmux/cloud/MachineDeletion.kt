package wardmux.cloud

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Deletes decommissioned machines at the cloud, and later their records. */
class MachineDeletion(private val context: CoreContext, environment: ProvisioningEnvironment) {
    private class ExpiringRecord(val expiresAt: Micros, val machine: Machine)

    private val log = logger<MachineDeletion>()
    private val cloud = environment.cloud
    private val cluster = environment.cluster
    private val registry = environment.registry
    private val decommissioning = environment.decommissioning
    private var nextRequestAt = Micros.LONG_AGO
    private val expiringRecords = ArrayDeque<ExpiringRecord>()

    /** Does what is due; only under a valid lease. */
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
        log.info("deleted {}: {}", machine.id, machine.decommissionReason)
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

        /** A delayed list may show a deleted machine for a while; its record excludes it. */
        val DELETED_RECORD_RETENTION = 60.seconds

        /** No further request before the outcome of one is known, or this has passed. */
        val REQUEST_OUTCOME_TIMEOUT = 6.seconds

        /** The protocol's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 100
    }
}
