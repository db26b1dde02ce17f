package wardmux.scheduling

import java.util.BitSet
import kotlinx.serialization.json.JsonElement
import wardmux.model.Job
import wardmux.model.KeyVersion
import wardmux.model.Machine
import wardmux.model.Placement
import wardmux.store.KeyValueStore
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** One transaction of the leader while it is put together, and what it makes true if it commits. */
internal class PlacementTransaction(
    private val store: KeyValueStore,
    leaderCondition: VersionCondition,
) {
    /** A page that the transaction writes, and what it says. */
    class WrittenPage(
        val job: Job,
        val page: Int,
        /** The tasks that are recorded as done. */
        val done: BitSet,
        /** The placements that are committed with it. */
        val placements: List<Placement>,
    )

    /** A page that the transaction removes. */
    class RemovedPage(val job: Job, val page: Int)

    /** The versions that keys must have for the transaction to commit. */
    val conditions = arrayListOf(leaderCondition)

    /** The writes, in the order in which they are sent. */
    val operations = ArrayList<WriteOperation>()
    val writtenPages = ArrayList<WrittenPage>()
    val removedPages = ArrayList<RemovedPage>()

    /** Jobs that are recorded as done. */
    val completedJobs = ArrayList<Job>()

    /** Machines that are recorded as decommissioned. */
    val decommissioned = ArrayList<Machine>()

    /** Machines whose decommission record is removed. */
    val expiredDecommissions = ArrayList<Machine>()

    /** Jobs that are no longer listed among the cancelled ones. */
    val removedCancelledKeys = ArrayList<Job>()
    private var dataBytes = 0

    /** True if so many more writes and conditions fit, beside the tags that come last. */
    fun hasRoomFor(writes: Int, conditions: Int) =
        operations.size + writes < store.maxOperations &&
            this.conditions.size + conditions < store.maxConditions &&
            dataBytes < MAX_DATA_BYTES

    /** Commits only if [key] has this version; [KeyVersion.ABSENT] if it must not exist. */
    fun requireVersion(key: String, version: KeyVersion) {
        conditions.add(VersionCondition(key, version))
    }

    /** Writes [data] to [key]. */
    fun put(key: String, data: JsonElement) {
        dataBytes += key.length + data.toString().length
        operations.add(WriteOperation(put = key, data = data))
    }

    /** Removes [key]. */
    fun remove(key: String) {
        operations.add(WriteOperation(remove = key))
    }

    /** The jobs whose pages or records it changes; one may come up several times. */
    fun jobs(): Sequence<Job> =
        writtenPages.asSequence().map { it.job } +
            removedPages.asSequence().map { it.job } +
            completedJobs

    private companion object {
        /** Well below the 64 KiB that a transaction may hold. */
        const val MAX_DATA_BYTES = 40_000
    }
}
