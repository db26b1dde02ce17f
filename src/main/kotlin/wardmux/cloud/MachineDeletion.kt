package wardmux.cloud

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Deletes decommissioned machines at the cloud, and later their records. */
class MachineDeletion(private val context: CoreContext, environment: ProvisioningEnvironment) {
    private class ExpiringRecord(val at: Micros, val machine: Machine)

    private val log = logger<MachineDeletion>()
    private val cloud = environment.cloud
    private val cluster = environment.cluster
    private val registry = environment.registry
    private val decommissioning = environment.decommissioning
    private var nextAt = Micros.LONG_AGO
    private val expiringRecords = ArrayDeque<ExpiringRecord>()

    /** Does what is due; only under a valid lease. */
    fun tick() {
        deleteDecommissioned()
        dropExpiredRecords()
    }

    private fun deleteDecommissioned() {
        if (context.now < nextAt || !cloud.isReady()) return
        val due = cluster.machines.values.filter { it.isDeletionDue }.take(MAX_DELETED)
        if (due.isEmpty()) return
        nextAt = context.now + REQUEST_TIME
        cloud.delete(due.map { it.id.value }) { result ->
            nextAt = context.now + if (result is CloudResult.Ok) Micros.ZERO else RETRY
            if (result is CloudResult.Ok) for (machine in due) deleted(machine)
        }
    }

    private fun deleted(machine: Machine) {
        log.info("deleted {}: {}", machine.id, machine.decommissionReason)
        cluster.releaseAll(machine, "deleted")
        cluster.machines.remove(machine.id)
        registry.markDeleted(machine.id)
        expiringRecords.addLast(ExpiringRecord(context.now + RECORD_KEPT, machine))
    }

    private fun dropExpiredRecords() {
        while (true) {
            val first = expiringRecords.firstOrNull() ?: return
            if (context.now < first.at) return
            decommissioning.dropRecord(first.machine)
            expiringRecords.removeFirst()
        }
    }

    private companion object {
        val RETRY = 1.seconds

        /** A delayed list may show a deleted machine for a while; its record excludes it. */
        val RECORD_KEPT = 60.seconds

        /** No further request before the outcome of one is known, or this has passed. */
        val REQUEST_TIME = 6.seconds

        /** The protocol's limit for one request. */
        const val MAX_DELETED = 100
    }
}
