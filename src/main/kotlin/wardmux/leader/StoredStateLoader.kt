package wardmux.leader

import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.KeyVersion
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.records.JobRecord
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.scheduling.PlacementStore
import wardmux.store.ScannedKey

/**
 * Loads what is stored into the cluster's state: when a term begins, and again when the leader can
 * no longer be sure of what is stored.
 */
class StoredStateLoader(
    private val services: ControllerServices,
    private val components: LeaderComponents,
) {
    private val log = logger<StoredStateLoader>()
    private val context = services.context
    private val types = services.machineTypes
    private val cancellations = services.cancellations
    private val cluster = components.cluster
    private val registry = components.registry
    private val reader = StoredStateReader(services.store)

    /** When to load; null while a load is under way or nothing is to be loaded. */
    private var nextLoadAt: Micros? = Micros.LONG_AGO

    /** Starts a load that is due, once the machine types are known. */
    fun tick() {
        nextLoadAt?.let { if (context.now >= it && types.types != null) load() }
    }

    /** Abandons a load under way, and loads everything again at the next tick. */
    fun reload() {
        reader.abandon()
        nextLoadAt = context.now
    }

    /** Abandons a load under way: the term has ended. */
    fun end() = reader.abandon()

    private fun load() {
        nextLoadAt = null
        val sentAt = context.now
        // Also what an earlier load that failed half-way has added: a job that was cancelled since
        // would stay, and its tasks with it.
        cluster.removeAllJobs()
        reader.read { result ->
            when (result) {
                is StoredStateResult.Complete -> apply(result.state, sentAt)
                is StoredStateResult.Failed -> nextLoadAt = context.now + RETRY_PERIOD
            }
        }
    }

    private fun apply(state: StoredState, sentAt: Micros) {
        state.tags?.let { components.queue.load(it.data) }
        components.placementStore.tagsVersion = state.tags?.version ?: KeyVersion.ABSENT
        for (item in state.openJobs.items) {
            components.jobs.add(item.data ?: continue, item.version)
        }
        for (item in state.cancelledJobs) addCancelledJob(item)
        cancellations.recordStoreRead(asOf = sentAt)
        for (item in state.pages) addPage(item)
        for (item in state.decommissionedMachines) {
            markDecommissioned(
                MachineId(item.key.removePrefix(PlacementStore.DECOMMISSIONED_PREFIX))
            )
        }
        components.pools.refresh(cluster.jobs.values)
        components.openJobWatcher.start(state.openJobs.revision)
        components.status.markLoaded()
        log.info(
            "loaded with fencing token {}: {} jobs ({} of them cancelled) with {} placements, " +
                "as stored {} s ago",
            components.role.token,
            cluster.jobs.size,
            cluster.jobs.values.count { it.isCancelled },
            cluster.jobs.values.sumOf { it.placements.size },
            (context.now - sentAt).inSeconds,
        )
    }

    private fun addCancelledJob(item: ScannedKey<JobRecord>) {
        val id = JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX))
        cancellations.observeStored(id)
        // It was cancelled after the open jobs were read: the watch of these will show that.
        if (id in cluster.jobs) return
        // The time of the cancellation is not stored: unless this process knows it, the earliest
        // possible one is assumed.
        components.jobs.add(item.data ?: return, item.version)?.let {
            cluster.cancel(it, cancellations.acknowledgedSince(id))
        }
    }

    /** Recorded by an earlier leader, which may have ended before it deleted the machine. */
    private fun markDecommissioned(id: MachineId) {
        val machine = registry.findOrAddRecorded(id) ?: return
        machine.decommission("decommissioned earlier")
        machine.markDeletionDue()
    }

    private fun addPage(item: ScannedKey<StoredTaskPage>) {
        val id = JobId(item.key.removePrefix(TaskPageCodec.KEY_PREFIX).substringBefore('/'))
        val page = item.key.substringAfterLast('/').toIntOrNull() ?: return
        val job = components.jobs.getOrAddCompleted(id)
        val placed = TaskPageCodec.restore(job, page, item.version, item.data)
        // Nothing of a done job is on a machine; its pages are only to be removed.
        if (job.isDone) return job.placements.clear()
        for (placement in placed) cluster.addPlacement(
            placement,
            cluster.machines[placement.machine],
        )
    }

    private companion object {
        val RETRY_PERIOD = 300.milliseconds
    }
}
