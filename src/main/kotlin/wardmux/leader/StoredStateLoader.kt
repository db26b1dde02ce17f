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
 * Loads the stored state into the cluster's state when a term begins, and again when the leader no
 * longer knows for certain what is stored.
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

    /** When to load next, or null while a load is running or none is needed. */
    private var nextLoadAt: Micros? = Micros.LONG_AGO

    /** Starts a load if it is due and the machine types are known. */
    fun tick() {
        nextLoadAt?.let { if (context.now >= it && types.types != null) load() }
    }

    /** Abandons a running load and loads everything again at the next tick. */
    fun reload() {
        reader.abandon()
        nextLoadAt = context.now
    }

    /** Abandons a running load because the term has ended. */
    fun end() = reader.abandon()

    private fun load() {
        nextLoadAt = null
        val sentAt = context.now
        // This also removes the jobs that a failed earlier load added. Otherwise a job that was
        // cancelled since then would stay open, and its tasks would go on running.
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
        // The newest first: see TaskPageCodec.restore.
        for (item in state.pages.sortedByDescending { it.version.value }) addPage(item)
        for (item in state.decommissionedMachines) {
            markDecommissioned(
                MachineId(item.key.removePrefix(PlacementStore.DECOMMISSIONED_PREFIX))
            )
        }
        components.pools.refresh(cluster.jobs.values)
        components.openJobWatcher.start(state.openJobs.revision)
        components.status.markLoaded()
        log.info(
            "loaded the stored state with fencing token {}: {} jobs ({} of them cancelled) with " +
                "{} placements, {} tasks on pages of another size; the load began {} s ago",
            components.role.token,
            cluster.jobs.size,
            cluster.jobs.values.count { it.isCancelled },
            cluster.jobs.values.sumOf { it.placements.size },
            cluster.jobs.values.sumOf { it.pages.displacedCount },
            (context.now - sentAt).inSeconds,
        )
    }

    private fun addCancelledJob(item: ScannedKey<JobRecord>) {
        val id = JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX))
        cancellations.observeStored(id)
        // The job was cancelled after the open jobs were read. The watch of these will report it.
        if (id in cluster.jobs) return
        // The time of the cancellation is not stored. If this process does not know it, the
        // earliest possible time is assumed.
        components.jobs.add(item.data ?: return, item.version)?.let {
            cluster.cancel(it, cancellations.acknowledgedSince(id))
        }
    }

    /**
     * Marks a machine that an earlier leader recorded as decommissioned. The term of that leader
     * may have ended before it deleted the machine, so the deletion is due again.
     */
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
        // No task of a job that is done is on a machine. Its pages only have to be removed.
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
