package wardmux.leader

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import wardmux.records.JobRecord
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.scheduling.FairQueue
import wardmux.scheduling.PlacementStore
import wardmux.store.KeyValue
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.ScannedKey
import wardmux.store.StoreResult

/** All that the state service holds for a leader, as one reading found it. */
class StoredState(
    /** Tags and usage of all teams; null if no leader has written them yet. */
    val tags: KeyValue?,
    /** Jobs that were open, with the revision from which changes to them are watched. */
    val openJobs: KeyValueStore.Scan<JobRecord>,
    val pages: List<ScannedKey<StoredTaskPage>>,
    val decommissionedMachines: List<ScannedKey<JsonElement>>,
    val cancelledJobs: List<ScannedKey<JobRecord>>,
)

/**
 * Reads what a leader needs before it decides anything, one request after the other. The order
 * matters:
 * - the tags come first, because every leader write replaces them and is conditional on their
 *   stamp: a write that is applied from then on makes this leader's next write fail;
 * - the cancelled jobs come last, after the open ones: a job that left the open ones meanwhile is
 *   either among the cancelled ones, or done.
 */
class StoredStateReader(private val store: KeyValueStore) {
    private var current: Reading? = null

    /**
     * Starts a reading and abandons the one before. [then] gets null if a request failed, and is
     * not called at all for a reading that was abandoned.
     */
    fun read(then: (StoredState?) -> Unit) {
        val reading = Reading(then)
        current = reading
        reading.readTags()
    }

    /** Answers that are still to come are dropped. */
    fun abandon() {
        current = null
    }

    private inner class Reading(private val then: (StoredState?) -> Unit) {
        private var tags: KeyValue? = null
        private lateinit var openJobs: KeyValueStore.Scan<JobRecord>
        private lateinit var pages: List<ScannedKey<StoredTaskPage>>
        private lateinit var decommissionedMachines: List<ScannedKey<JsonElement>>

        fun readTags() {
            store.get(FairQueue.KEY, RequestPriority.LEADER) { result ->
                if (current !== this) return@get
                when (result) {
                    is StoreResult.Ok -> {
                        tags = result.value
                        readOpenJobs()
                    }
                    is StoreResult.Absent -> readOpenJobs()
                    else -> finish(null)
                }
            }
        }

        private fun readOpenJobs() {
            scan(JobRecord.OPEN_PREFIX, JobRecord.serializer()) { found ->
                openJobs = found
                readPages()
            }
        }

        private fun readPages() {
            scan(TaskPageCodec.KEY_PREFIX, StoredTaskPage.serializer()) { found ->
                pages = found.items
                readDecommissionedMachines()
            }
        }

        private fun readDecommissionedMachines() {
            scan(PlacementStore.DECOMMISSIONED_PREFIX, JsonElement.serializer()) { found ->
                decommissionedMachines = found.items
                readCancelledJobs()
            }
        }

        private fun readCancelledJobs() {
            scan(JobRecord.CANCELLED_PREFIX, JobRecord.serializer()) { found ->
                finish(StoredState(tags, openJobs, pages, decommissionedMachines, found.items))
            }
        }

        private fun <T : Any> scan(
            prefix: String,
            values: KSerializer<T>,
            next: (KeyValueStore.Scan<T>) -> Unit,
        ) {
            store.scan(prefix, values) { found ->
                if (current !== this) return@scan
                if (found == null) finish(null) else next(found)
            }
        }

        private fun finish(state: StoredState?) {
            current = null
            then(state)
        }
    }
}
