package wardmux.scheduling

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import java.util.BitSet
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.CoreContext
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord
import wardmux.serialization.jsonBytes
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** The pages that one write still takes, for the planner: what can't be written isn't placed. */
class Admission(private val most: Int, val mostBytes: Int = Int.MAX_VALUE) {
    private var left = most
    private val pages = HashMap<JobId, IntOpenHashSet>()

    /** How full the pages are that could become larger than a value may be. */
    private val fills = HashMap<JobId, Int2ObjectOpenHashMap<PageSizeEstimate>>()

    /** True if no task of the job can be admitted, whichever it is, as none of its pages is. */
    fun closedTo(job: Job) = left <= 0 && job.id !in pages

    /**
     * Takes all pages of a gang, or none. One that needs more than a write holds is written in
     * several, before any of its starts goes out; it begins only where nothing else was taken yet.
     */
    fun admitsWhole(job: Job): Boolean {
        val own = pages.getOrPut(job.id) { IntOpenHashSet() }
        val needed = (0..(job.spec.tasks - 1) / job.pageSize).filter { it !in own }
        if (needed.size > left && left < most) return false
        left = maxOf(0, left - needed.size)
        own.addAll(needed)
        return true
    }

    /** Nothing of the gang is placed after all: others may take what it took. */
    fun withdraw(job: Job) {
        fills.remove(job.id)
        left = minOf(most, left + (pages.remove(job.id)?.size ?: 0))
    }

    fun admits(job: Job, task: Int): Boolean {
        val page = task / job.pageSize
        val own = pages[job.id]
        val open = own != null && own.contains(page)
        if (!open && left <= 0) return false
        if (fill(job, page)?.hasRoom(job, task) == false) return false
        if (open) return true
        left--
        return pages.getOrPut(job.id) { IntOpenHashSet() }.add(page)
    }

    /** True if its page can't take it, though others of the job may. */
    fun isFull(job: Job, task: Int) = fill(job, task / job.pageSize)?.hasRoom(job, task) == false

    /** It is placed as it was admitted. */
    fun took(placement: Placement) {
        val job = placement.job
        fill(job, placement.task.index / job.pageSize)?.add(placement)
    }

    /** Null if the page fits whatever is placed on it. */
    private fun fill(job: Job, page: Int): PageSizeEstimate? {
        if (PageSizeEstimate.fitsAlways(job, mostBytes)) return null
        return fills
            .getOrPut(job.id) { Int2ObjectOpenHashMap() }
            .getOrPut(page) { PageSizeEstimate(job, page, mostBytes) }
    }
}

/**
 * Writes what the leader decides, one transaction at a time. Each holds only while the leader key
 * is as this leader wrote it, and a page only while it is as it was last seen: a transaction that
 * is applied late, after it was given up on, therefore changes nothing.
 */
class PlacementStore(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cluster: ClusterState,
    private val role: Role.Leader,
    private val period: Micros,
    private val listener: Listener,
) {
    interface Listener {
        fun written()

        fun fenced()

        /** What is stored is no longer known for sure. */
        fun lost()

        fun finished(job: Job)

        /** The job's record is no longer as it was when it was accepted. */
        fun changed(job: Job)

        fun decommissioned(machine: Machine)
    }

    private class WrittenPage(
        val job: Job,
        val page: Int,
        val done: BitSet,
        val planned: List<Placement>,
        val removed: Boolean,
    )

    private inner class Draft {
        val conditions = arrayListOf(role.condition)
        val changes = ArrayList<WriteOperation>()
        val pages = ArrayList<WrittenPage>()
        val finishing = ArrayList<Job>()
        val decommissioning = ArrayList<Machine>()
        val expiredDecommissions = ArrayList<Machine>()
        val unlisting = ArrayList<Job>()
        private var bytes = 0

        fun room(changesNeeded: Int, conditionsNeeded: Int) =
            changes.size + changesNeeded < store.maxChanges &&
                conditions.size + conditionsNeeded < store.maxConditions &&
                bytes < MAX_BYTES

        fun put(key: String, data: JsonElement) {
            bytes += key.length + data.toString().length
            changes.add(WriteOperation(put = key, data = data))
        }
    }

    private val log = logger<PlacementStore>()
    private val decommissioning = LinkedHashSet<Machine>()
    private val expiredDecommissions = LinkedHashSet<Machine>()
    private var inFlight = false

    /** Pages that were too large to be written, and when they are looked at again. */
    private val tooLargeUntil = HashMap<String, Micros>()

    /**
     * Every write replaces the tags and holds only while they are as last seen. Pages alone do not
     * order two writes to different jobs: one that is applied late, after it was given up on, would
     * add its placements to those made since, and together they could pass a team's cap.
     */
    var tagsVersion = 0L
    private var nextAt = Micros.LONG_AGO

    val ready: Boolean
        get() = !inFlight && context.now >= nextAt

    /** Recorded before the machine is deleted, so that no later leader uses it. */
    fun decommission(machine: Machine) {
        decommissioning.add(machine)
    }

    /** Deleted long enough ago: its record is of no more use. */
    fun dropDecommissionRecord(machine: Machine) {
        expiredDecommissions.add(machine)
    }

    /**
     * Pages that one write may still take, for the planner: it places no more than can be written.
     */
    fun admission(): Admission {
        // One change is kept for the tags.
        // Where a transaction holds few, ends never take all that a start needs.
        val ends = minOf(finishing().take(2).count() * 2, store.maxChanges - 2)
        // A lost machine keeps its tasks from running elsewhere until its record is written: where
        // many are lost at once, as with a zone, these must not wait behind all that can be placed.
        val mostLost = maxOf(1, store.maxChanges / DECOMMISSIONS_PART)
        val others = minOf(decommissioning.size, mostLost) + ends
        return Admission(maxOf(1, store.maxChanges - 1 - others), store.maxValueBytes)
    }

    private fun finishing() =
        cluster.jobs.values.asSequence().filter { it.allTasksDone && !it.isDone && !it.hasEnded }

    fun flush() {
        if (!ready) return
        val draft = Draft()
        addPlanned(draft)
        addFinished(draft)
        addDecommissioned(draft)
        addDirty(draft)
        addRemovals(draft)
        addExpiredDecommissions(draft)
        if (draft.changes.isEmpty()) return
        draft.conditions.add(VersionCondition(FairQueue.KEY, tagsVersion))
        draft.put(FairQueue.KEY, cluster.queue.toJson(context.wallTime, store.maxValueBytes))
        inFlight = true
        store.multi(draft.conditions, draft.changes, RequestPriority.LEADER) { settle(draft, it) }
        nextAt = context.now + period
    }

    private fun addPlanned(draft: Draft) {
        for (job in cluster.jobs.values) {
            for (page in job.dirtyPages()) {
                if (!job.hasPlanned(page)) continue
                if (!draft.room(1, 2)) return
                if (addPage(draft, job, page)) {
                    draft.conditions.add(VersionCondition(JobRecord.key(job.id), job.version.value))
                } else {
                    // No start goes out without its record.
                    for (placement in job.placementsOf(page)) {
                        if (!placement.committed) cluster.undo(placement)
                    }
                }
            }
        }
    }

    private fun addFinished(draft: Draft) {
        for (job in finishing()) {
            if (!draft.room(2, 1)) return
            draft.conditions.add(VersionCondition(JobRecord.key(job.id), job.version.value))
            val record = JobRecord(JobState.DONE, job.acceptedAt.value)
            draft.put(JobRecord.key(job.id), record.toJson())
            draft.changes.add(WriteOperation(remove = JobRecord.openKey(job.id)))
            draft.finishing.add(job)
        }
    }

    private fun addDecommissioned(draft: Draft) {
        for (machine in decommissioning) {
            if (!draft.room(1, 0)) return
            draft.put(machineKey(machine), JsonPrimitive(machine.decommissionReason))
            draft.decommissioning.add(machine)
        }
    }

    private fun addDirty(draft: Draft) {
        for (job in cluster.jobs.values) {
            val since = job.dirtySince ?: continue
            if (job.hasEnded || job.allTasksDone || context.wallTime - since < PATIENCE) continue
            for (page in job.dirtyPages()) {
                if (job.hasPlanned(page)) continue
                val key = Job.pageKey(job.id, page)
                if (tooLargeUntil[key]?.let { context.now < it } == true) continue
                if (!draft.room(1, 1)) return
                addPage(draft, job, page)
            }
        }
    }

    /** Pages of jobs that are over go once nothing of them is left on a machine. */
    private fun addRemovals(draft: Draft) {
        for (job in cluster.jobs.values) {
            if (!job.hasEnded || job.placements.isNotEmpty()) continue
            val pages = job.storedPages()
            for (page in pages) {
                // Nobody waits for it, so it never takes what a start or an end needs.
                if (!draft.room(1, 1) || draft.changes.size >= store.writesToSpare) return
                val key = Job.pageKey(job.id, page)
                tooLargeUntil.remove(key)
                draft.conditions.add(VersionCondition(key, job.pageVersion(page)))
                draft.changes.add(WriteOperation(remove = key))
                draft.pages.add(WrittenPage(job, page, BitSet(), emptyList(), removed = true))
            }
            if (job.isDone || job.unlisted || pages.isNotEmpty()) continue
            if (!draft.room(1, 0) || draft.changes.size >= store.writesToSpare) return
            draft.changes.add(WriteOperation(remove = JobRecord.cancelledKey(job.id)))
            draft.unlisting.add(job)
        }
    }

    private fun addExpiredDecommissions(draft: Draft) {
        for (machine in expiredDecommissions) {
            if (!draft.room(1, 0)) return
            draft.changes.add(WriteOperation(remove = machineKey(machine)))
            draft.expiredDecommissions.add(machine)
        }
    }

    /**
     * False if it is larger than a value may be now: an earlier leader wrote it under higher
     * limits. It waits until enough of its tasks ended. Until then the machines keep how they
     * ended, and the job is done by its record, which needs no page.
     */
    private fun addPage(draft: Draft, job: Job, page: Int): Boolean {
        val key = Job.pageKey(job.id, page)
        val content = job.page(page, store.maxValueBytes)
        if (jsonBytes(content.data) > store.maxValueBytes) {
            tooLargeUntil[key] = context.now + TOO_LARGE_PAUSE
            return false
        }
        tooLargeUntil.remove(key)
        draft.conditions.add(VersionCondition(key, job.pageVersion(page)))
        draft.put(key, content.data)
        val planned = job.placementsOf(page).filter { !it.committed }
        draft.pages.add(WrittenPage(job, page, content.done, planned, removed = false))
        job.clean(page)
        return true
    }

    private fun settle(draft: Draft, result: StoreResult<Long>) {
        inFlight = false
        when (result) {
            is StoreResult.Ok -> committed(draft, result.value)
            is StoreResult.Conflict -> conflict(draft, result.failed)
            is StoreResult.Refused -> {
                takeBack(draft)
                nextAt = context.now + REFUSED_PAUSE
            }
            is StoreResult.Invalid,
            is StoreResult.Absent -> {
                log.error(
                    "a write was found invalid: {}",
                    draft.changes.map { it.put ?: it.remove },
                )
                takeBack(draft)
                nextAt = context.now + INVALID_PAUSE
            }
            is StoreResult.Indeterminate -> {
                log.info("a write got no response; reading again what is stored")
                listener.lost()
            }
        }
    }

    private fun committed(draft: Draft, version: Long) {
        tagsVersion = version
        for (written in draft.pages) {
            if (written.removed) written.job.forgetPage(written.page)
            else written.job.written(written.page, version, written.done)
            for (placement in written.planned) written.job.commit(placement)
        }
        for (job in draft.finishing) {
            cluster.finish(job)
            listener.finished(job)
        }
        for (machine in draft.decommissioning) {
            decommissioning.remove(machine)
            listener.decommissioned(machine)
        }
        expiredDecommissions.removeAll(draft.expiredDecommissions.toSet())
        for (job in draft.unlisting) job.unlisted = true
        listener.written()
    }

    private fun conflict(draft: Draft, failed: List<String>) {
        if (LeaderElection.KEY in failed) return listener.fenced()
        val changed =
            (draft.pages.map { it.job } + draft.finishing).filter { JobRecord.key(it.id) in failed }
        if (changed.isEmpty() || FairQueue.KEY in failed) {
            log.info("stored pages are not as they were last seen: {}", failed)
            return listener.lost()
        }
        takeBack(draft)
        for (job in changed.distinct()) listener.changed(job)
    }

    /** Surely not written: planned placements are undone, the rest is tried again. */
    private fun takeBack(draft: Draft) {
        for (written in draft.pages) {
            if (!written.removed) written.job.markDirty(written.page, context.wallTime)
            for (placement in written.planned) cluster.undo(placement)
        }
    }

    companion object {
        const val MACHINES = "m/"

        /** Part of a write, the inverse, that is kept for machines given up. */
        private const val DECOMMISSIONS_PART = 2

        /** Well below the 64 KiB that a transaction may hold. */
        private const val MAX_BYTES = 40_000
        private val REFUSED_PAUSE = 300.milliseconds

        /**
         * How tasks ended is written for many at once: until then the machines keep it, and a later
         * leader is told again.
         */
        private val PATIENCE = 3.seconds
        private val TOO_LARGE_PAUSE = 1.seconds
        private val INVALID_PAUSE = 5.seconds

        fun machineKey(machine: Machine) = "$MACHINES${machine.id.value}"
    }
}
