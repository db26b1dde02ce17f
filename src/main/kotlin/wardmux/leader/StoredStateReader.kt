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

/** The state that the key-value store holds for a leader, as found by one reading. */
class StoredState(
    /** The tags and usage of all teams, or null if no leader has written them yet. */
    val tags: KeyValue?,
    /** The open jobs, with the revision from which the leader watches them for changes. */
    val openJobs: ScanResult<JobRecord>,
    val pages: List<ScannedKey<StoredTaskPage>>,
    val decommissionedMachines: List<ScannedKey<JsonElement>>,
    val cancelledJobs: List<ScannedKey<JobRecord>>,
)

/** The result of a reading. */
sealed interface StoredStateResult {
    /** The reading was complete and found [state]. */
    class Complete(val state: StoredState) : StoredStateResult

    /** A request failed, so the reading has no result. */
    data object Failed : StoredStateResult
}

/**
 * Reads the stored state that a leader needs before it makes decisions, one request after the
 * other. The order matters:
 * - The tags are read first. Every leader write replaces them and is conditional on their version,
 *   so a write that is applied after this point makes this leader's next write fail.
 * - The cancelled jobs are read last, after the open jobs. A job that stopped being open in the
 *   meantime is therefore either among the cancelled jobs or done.
 */
class StoredStateReader(private val store: KeyValueStore) {
    private var current: Reading? = null

    /**
     * Starts a reading and abandons the previous one. [onResult] gets the result, but is not called
     * for a reading that was abandoned.
     */
    fun read(onResult: (StoredStateResult) -> Unit) {
        val reading = Reading(onResult)
        current = reading
        reading.readTags()
    }

    /** Abandons the current reading and ignores responses that arrive later. */
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
