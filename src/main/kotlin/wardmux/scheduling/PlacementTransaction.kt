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

/**
 * A transaction of the leader that is being assembled, and the changes to make in memory once it
 * has committed.
 */
internal class PlacementTransaction(
    private val store: KeyValueStore,
    leaderCondition: VersionCondition,
) {
    /** A task page that the transaction writes, and its content. */
    class WrittenPage(
        val job: Job,
        val page: Int,
        /** The tasks that the page records as done. */
        val done: BitSet,
        /** The placements that are committed together with the page. */
        val placements: List<Placement>,
    )

    /** A task page that the transaction removes. */
    class RemovedPage(val job: Job, val page: Int)

    /** The versions that keys must have for the transaction to commit. */
    val conditions = arrayListOf(leaderCondition)

    /** The writes and removals, in the order in which they are sent. */
    val operations = ArrayList<WriteOperation>()
    val writtenPages = ArrayList<WrittenPage>()
    val removedPages = ArrayList<RemovedPage>()

    /** Jobs that the transaction records as done. */
    val completedJobs = ArrayList<Job>()

    /** Machines that the transaction records as decommissioned. */
    val decommissioned = ArrayList<Machine>()

    /** Machines whose decommission record the transaction removes. */
    val expiredDecommissions = ArrayList<Machine>()

    /** Jobs whose key among the cancelled jobs the transaction removes. */
    val removedCancelledKeys = ArrayList<Job>()
    private var dataBytes = 0

    /**
     * True if the transaction has room for this many more operations and conditions, in addition to
     * the write of the fair-queuing tags, which is added last.
     */
    fun hasRoomFor(writes: Int, conditions: Int) =
        operations.size + writes < store.maxOperations &&
            this.conditions.size + conditions < store.maxConditions &&
            dataBytes < MAX_DATA_BYTES

    /**
     * Adds the condition that [key] has this version; [KeyVersion.ABSENT] means that it must not
     * exist.
     */
    fun requireVersion(key: String, version: KeyVersion) {
        conditions.add(VersionCondition(key, version))
    }

    /** Adds a write of [data] to [key]. */
    fun put(key: String, data: JsonElement) {
        dataBytes += key.length + data.toString().length
        operations.add(WriteOperation(put = key, data = data))
    }

    /** Adds a removal of [key]. */
    fun remove(key: String) {
        operations.add(WriteOperation(remove = key))
    }

    /** The jobs whose pages or records the transaction changes. A job may occur several times. */
    fun jobs(): Sequence<Job> =
        writtenPages.asSequence().map { it.job } +
            removedPages.asSequence().map { it.job } +
            completedJobs

    private companion object {
        /**
         * The amount of data after which nothing more is added, well below the 64 KiB that a
         * transaction may hold.
         */
        const val MAX_DATA_BYTES = 40_000
    }
}
