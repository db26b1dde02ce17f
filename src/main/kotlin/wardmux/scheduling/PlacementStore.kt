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
 * Writes what the leader decides, one transaction at a time. Each commits only while the leader key
 * is as this leader wrote it, and a page only while it is as it was last read: a transaction that
 * is applied late, after its request timed out, therefore changes nothing.
 */
class PlacementStore(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cluster: ClusterState,
    private val role: Role.Leader,
    /** The least time between two transactions. */
    private val minInterval: Micros,
    private val listener: Listener,
) {
    /** Learns what became of transactions. */
    interface Listener {
        /** A transaction was committed: starts that waited for it may go out. */
        fun onCommitted()

        /** The leader key has changed: this controller no longer leads. */
        fun onFenced()

        /** What is stored is not known any more, and has to be read again. */
        fun onStateUnknown()

        /** The record of [job] says that it is done. */
        fun onJobDone(job: Job)

        /** The record of [job] is no longer as it was when the job was accepted. */
        fun onJobRecordChanged(job: Job)

        /** It is recorded that [machine] is decommissioned, so it may be deleted. */
        fun onDecommissionRecorded(machine: Machine)
    }

    private val log = logger<PlacementStore>()
    private val pageWriter = TaskPageWriter(context, store, cluster)
    private val decommissions = LinkedHashSet<Machine>()
    private val expiredDecommissions = LinkedHashSet<Machine>()
    private var isInFlight = false
    private var nextTransactionAt = Micros.LONG_AGO

    /**
     * The version of the tags as last read or written. Every transaction replaces them and commits
     * only if they have this version: conditions on pages alone do not order two writes to
     * different jobs, so that one applied late could add placements beyond a team's quota limit.
     */
    var tagsVersion = KeyVersion.ABSENT

    /** True if a transaction could be sent now. */
    val isReady: Boolean
        get() = !isInFlight && context.now >= nextTransactionAt

    /** Records that [machine] is decommissioned before it is deleted, so that no leader uses it. */
    fun decommission(machine: Machine) {
        decommissions.add(machine)
    }

    /** Removes the decommission record of [machine], which was deleted long enough ago. */
    fun dropDecommissionRecord(machine: Machine) {
        expiredDecommissions.add(machine)
    }

    /** The pages that the next transaction can write beside what else it has to hold. */
    fun pageBudget(): PageWriteBudget {
        // One change is kept for the tags.
        // Where a transaction holds few, ends never take all that a start needs.
        val completionWrites =
            minOf(jobsToComplete().take(2).count() * WRITES_PER_COMPLETION, store.maxOperations - 2)
        // A lost machine keeps its tasks from running elsewhere until its record is written: where
        // many are lost at once, as with a zone, these must not wait behind all that can be placed.
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
                    "the store rejected a transaction as invalid: {}",
                    transaction.operations.map { it.put ?: it.remove },
                )
                rollBack(transaction)
                nextTransactionAt = context.now + INVALID_REQUEST_RETRY_DELAY
            }
            is StoreResult.Indeterminate -> {
                log.info("a transaction got no response; reading the stored state again")
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
            log.info("stored keys have other versions than expected: {}", failed)
            return listener.onStateUnknown()
        }
        rollBack(transaction)
        for (job in changedJobs) listener.onJobRecordChanged(job)
    }

    /** The transaction was surely not applied: its placements are undone, the rest is retried. */
    private fun rollBack(transaction: PlacementTransaction) {
        for (written in transaction.writtenPages) {
            written.job.pages.markDirty(written.page, context.wallTime)
            for (placement in written.placements) cluster.rollBack(placement)
        }
    }

    companion object {
        /** Prefix of the keys that record decommissioned machines. */
        const val DECOMMISSIONED_PREFIX = "m/"

        /** The job's record, and the key among the open jobs. */
        private const val WRITES_PER_COMPLETION = 2

        /** The inverse of the part of a transaction that is kept for decommissioned machines. */
        private const val DECOMMISSIONS_DIVISOR = 2
        private val NOT_EXECUTED_RETRY_DELAY = 300.milliseconds
        private val INVALID_REQUEST_RETRY_DELAY = 5.seconds

        private fun decommissionKey(machine: Machine) = DECOMMISSIONED_PREFIX + machine.id.value
    }
}
