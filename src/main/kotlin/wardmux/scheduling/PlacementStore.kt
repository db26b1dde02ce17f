package wardmux.scheduling

import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult

/**
 * Writes the leader's decisions to the key-value store, one transaction at a time. A transaction
 * commits only if the leader key is as this leader wrote it and each task page is as it was last
 * read or written. A transaction that the store applies late, after its request timed out,
 * therefore changes nothing.
 */
class PlacementStore(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cluster: ClusterState,
    private val role: Role.Leader,
    /** The minimum time between the starts of two transactions. */
    private val minInterval: Micros,
    private val listener: Listener,
) {
    /** Receives the outcomes of transactions. */
    interface Listener {
        /** Called after a transaction was committed: starts that waited for it may be sent. */
        fun onCommitted()

        /** Called if the leader key has changed: this controller is no longer the leader. */
        fun onFenced()

        /** Called if the stored state is no longer known and has to be read again. */
        fun onStateUnknown()

        /** Called once the record of [job] says that it is done. */
        fun onJobDone(job: Job)

        /** Called if the record of [job] is no longer the one written when the job was accepted. */
        fun onJobRecordChanged(job: Job)

        /**
         * Called once it is recorded that [machine] is decommissioned, so that it may be deleted.
         */
        fun onDecommissionRecorded(machine: Machine)
    }

    private val log = logger<PlacementStore>()
    private val pageWriter = TaskPageWriter(context, store, cluster)
    private val decommissions = LinkedHashSet<Machine>()
    private val expiredDecommissions = LinkedHashSet<Machine>()
    private var isInFlight = false
    private var nextTransactionAt = Micros.LONG_AGO

    /**
     * The version of the fair-queuing tags as last read or written. Every transaction replaces the
     * tags and commits only if they have this version. Conditions on pages alone would not order
     * two writes to different jobs, so that a transaction applied late could add placements beyond
     * a team's quota limit.
     */
    var tagsVersion = KeyVersion.ABSENT

    /** True if a transaction could be sent now. */
    val isReady: Boolean
        get() = !isInFlight && context.now >= nextTransactionAt

    /**
     * Queues a record that [machine] is decommissioned. It is written before the machine is
     * deleted, so that no later leader uses the machine.
     */
    fun decommission(machine: Machine) {
        decommissions.add(machine)
    }

    /**
     * Queues the removal of the decommission record of [machine], which was deleted long enough
     * ago.
     */
    fun dropDecommissionRecord(machine: Machine) {
        expiredDecommissions.add(machine)
    }

    /** The task pages that the next transaction can write in addition to its other operations. */
    fun pageBudget(): PageWriteBudget {
        // One operation is kept for the tags. In a store whose transactions hold few operations,
        // completed jobs must leave at least one for a page, so that tasks can still be started.
        val completionWrites =
            minOf(jobsToComplete().take(2).count() * WRITES_PER_COMPLETION, store.maxOperations - 2)
        // The tasks of a lost machine cannot run elsewhere until its decommission record is
        // written. If many machines are lost at once, for example with a zone, their records must
        // not wait until everything that can be placed is written.
        val maxDecommissions = maxOf(1, store.maxOperations / DECOMMISSIONS_DIVISOR)
        val otherWrites = minOf(decommissions.size, maxDecommissions) + completionWrites
        return PageWriteBudget(maxOf(1, store.maxOperations - 1 - otherWrites), store.maxValueBytes)
    }

    private fun jobsToComplete() =
        cluster.jobs.values.asSequence().filter { it.allTasksDone && !it.isDone && !it.hasEnded }

    /** Sends a transaction if one may be sent and there is something to write. */
    fun flush() {
        if (!isReady) return
        val transaction = PlacementTransaction(store, role.condition)
        pageWriter.addUncommitted(transaction)
        addCompletedJobs(transaction)
        addDecommissions(transaction)
        pageWriter.addDirty(transaction)
        pageWriter.addRemovals(transaction)
        addExpiredDecommissions(transaction)
        if (transaction.operations.isEmpty()) return
        transaction.requireVersion(FairQueue.KEY, tagsVersion)
        transaction.put(FairQueue.KEY, cluster.queue.toJson(context.wallTime, store.maxValueBytes))
        isInFlight = true
        store.compareAndSwap(
            transaction.conditions,
            transaction.operations,
            RequestPriority.LEADER,
        ) {
            onResult(transaction, it)
        }
        nextTransactionAt = context.now + minInterval
    }

    private fun addCompletedJobs(transaction: PlacementTransaction) {
        for (job in jobsToComplete()) {
            if (!transaction.hasRoomFor(WRITES_PER_COMPLETION, conditions = 1)) return
            transaction.requireVersion(JobRecord.key(job.id), job.version)
            val record = JobRecord(JobState.DONE, job.acceptedAt.value)
            transaction.put(JobRecord.key(job.id), record.toJson())
            transaction.remove(JobRecord.openKey(job.id))
            transaction.completedJobs.add(job)
        }
    }

    private fun addDecommissions(transaction: PlacementTransaction) {
        for (machine in decommissions) {
            if (!transaction.hasRoomFor(writes = 1, conditions = 0)) return
            transaction.put(decommissionKey(machine), JsonPrimitive(machine.decommissionReason))
            transaction.decommissioned.add(machine)
        }
    }

    private fun addExpiredDecommissions(transaction: PlacementTransaction) {
        for (machine in expiredDecommissions) {
            if (!transaction.hasRoomFor(writes = 1, conditions = 0)) return
            transaction.remove(decommissionKey(machine))
            transaction.expiredDecommissions.add(machine)
        }
    }

    private fun onResult(transaction: PlacementTransaction, result: StoreResult<Revision>) {
        isInFlight = false
        when (result) {
            is StoreResult.Ok -> onCommitted(transaction, result.value.keyVersion)
            is StoreResult.Conflict -> onConflict(transaction, result.failed)
            is StoreResult.NotExecuted -> {
                rollBack(transaction)
                nextTransactionAt = context.now + NOT_EXECUTED_RETRY_DELAY
            }
            is StoreResult.InvalidRequest,
            is StoreResult.Compacted,
            is StoreResult.NotFound -> {
                log.error(
                    "the store rejected a transaction as invalid; keys it writes or removes: {}",
                    transaction.operations.map { it.put ?: it.remove },
                )
                rollBack(transaction)
                nextTransactionAt = context.now + INVALID_REQUEST_RETRY_DELAY
            }
            is StoreResult.Indeterminate -> {
                log.info("outcome of a transaction is unknown; reading the stored state again")
                listener.onStateUnknown()
            }
        }
    }

    private fun onCommitted(transaction: PlacementTransaction, version: KeyVersion) {
        tagsVersion = version
        for (written in transaction.writtenPages) {
            written.job.pages.onWritten(written.page, version, written.done)
            for (placement in written.placements) written.job.commit(placement)
        }
        for (removed in transaction.removedPages) removed.job.pages.onRemoved(removed.page)
        for (job in transaction.completedJobs) {
            cluster.finish(job)
            listener.onJobDone(job)
        }
        for (machine in transaction.decommissioned) {
            decommissions.remove(machine)
            listener.onDecommissionRecorded(machine)
        }
        expiredDecommissions.removeAll(transaction.expiredDecommissions.toSet())
        for (job in transaction.removedCancelledKeys) job.isCancelledKeyRemoved = true
        listener.onCommitted()
    }

    private fun onConflict(transaction: PlacementTransaction, failed: List<String>) {
        if (LeaderElection.KEY in failed) return listener.onFenced()
        val changedJobs =
            transaction.jobs().filter { JobRecord.key(it.id) in failed }.distinct().toList()
        if (changedJobs.isEmpty() || FairQueue.KEY in failed) {
            log.info("transaction not applied, keys have other versions than expected: {}", failed)
            return listener.onStateUnknown()
        }
        rollBack(transaction)
        for (job in changedJobs) listener.onJobRecordChanged(job)
    }

    /**
     * Handles a transaction that was certainly not applied: its placements are rolled back, and its
     * other operations are retried with the next transaction.
     */
    private fun rollBack(transaction: PlacementTransaction) {
        for (written in transaction.writtenPages) {
            written.job.pages.markDirty(written.page, context.wallTime)
            for (placement in written.placements) cluster.rollBack(placement)
        }
    }

    companion object {
        /** Prefix of the keys that record decommissioned machines. */
        const val DECOMMISSIONED_PREFIX = "m/"

        /**
         * Operations that complete a job: writing its record and removing its key among the open
         * jobs.
         */
        private const val WRITES_PER_COMPLETION = 2

        /**
         * The page budget keeps up to one in this many operations of a transaction for decommission
         * records.
         */
        private const val DECOMMISSIONS_DIVISOR = 2
        private val NOT_EXECUTED_RETRY_DELAY = 300.milliseconds
        private val INVALID_REQUEST_RETRY_DELAY = 5.seconds

        private fun decommissionKey(machine: Machine) = DECOMMISSIONED_PREFIX + machine.id.value
    }
}
