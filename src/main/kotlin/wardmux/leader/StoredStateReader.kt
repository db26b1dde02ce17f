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
import wardmux.store.ScanResult
import wardmux.store.ScannedKey
import wardmux.store.StoreResult

/** All that the key-value store holds for a leader, as one reading found it. */
class StoredState(
    /** Tags and usage of all teams; null if no leader has written them yet. */
    val tags: KeyValue?,
    /** Jobs that were open, with the revision from which changes to them are watched. */
    val openJobs: ScanResult<JobRecord>,
    val pages: List<ScannedKey<StoredTaskPage>>,
    val decommissionedMachines: List<ScannedKey<JsonElement>>,
    val cancelledJobs: List<ScannedKey<JobRecord>>,
)

/** What came of a reading. */
sealed interface StoredStateResult {
    /** All that is stored, in [state]. */
    class Complete(val state: StoredState) : StoredStateResult

    /** A request failed; nothing is known. */
    data object Failed : StoredStateResult
}

/**
 * Reads what a leader needs before it decides anything, one request after the other. The order
 * matters:
 * - the tags come first, because every leader write replaces them and is conditional on their
 *   version: a write that is applied from then on makes this leader's next write fail;
 * - the cancelled jobs come last, after the open ones: a job that left the open ones meanwhile is
 *   either among the cancelled ones, or done.
 */
class StoredStateReader(private val store: KeyValueStore) {
    private var current: Reading? = null

    /**
     * Starts a reading and abandons the one before. [onResult] gets its result, and is not called
     * at all for a reading that was abandoned.
     */
    fun read(onResult: (StoredStateResult) -> Unit) {
        val reading = Reading(onResult)
        current = reading
        reading.readTags()
    }

    /** Ignores the responses that are still to come. */
    fun abandon() {
        current = null
    }

    private inner class Reading(private val onResult: (StoredStateResult) -> Unit) {
        private var tags: KeyValue? = null
        private lateinit var openJobs: ScanResult<JobRecord>
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
                    is StoreResult.NotFound -> readOpenJobs()
                    else -> finish(StoredStateResult.Failed)
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
                finish(
                    StoredStateResult.Complete(
                        StoredState(tags, openJobs, pages, decommissionedMachines, found.items)
                    )
                )
            }
        }

        private fun <T : Any> scan(
            prefix: String,
            serializer: KSerializer<T>,
            next: (ScanResult<T>) -> Unit,
        ) {
            store.scan(prefix, serializer) { found ->
                if (current !== this) return@scan
                if (found == null) finish(StoredStateResult.Failed) else next(found)
            }
        }

        private fun finish(result: StoredStateResult) {
            current = null
            onResult(result)
        }
    }
}
