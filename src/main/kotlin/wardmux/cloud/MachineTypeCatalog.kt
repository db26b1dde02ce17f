package wardmux.cloud

import wardmux.core.CoreContext
import wardmux.model.MachineType
import wardmux.model.MachineTypes
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.MachineTypeList
import wardmux.serialization.jsonBytes
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.WriteOperation

/**
 * The machine types that the cloud offers. They are also stored in the key-value store, so that a
 * controller that starts during an outage of the cloud knows them.
 */
class MachineTypeCatalog(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cloud: CloudClient,
) : MachineTypes {
    override var types: List<MachineType>? = null
        private set

    private var nextReadAt = Micros.LONG_AGO
    private var isReading = false

    /**
     * Reads the types if that is due. Once they are known, only the leader refreshes them and their
     * prices.
     */
    fun tick(isLeader: Boolean) {
        if (isReading || context.now < nextReadAt) return
        if (types != null && !isLeader) return
        isReading = true
        if (types == null) readStored() else readCloud()
    }

    private fun readStored() {
        store.get(MachineTypeList.KEY) { result ->
            val stored =
                if (result is StoreResult.Ok) MachineTypeList.decode(result.value.data) else null
            if (stored != null) {
                types = stored
                scheduleNextRead(REFRESH_PERIOD)
            } else {
                readCloud()
            }
        }
    }

    private fun readCloud() {
        if (!cloud.canSendRequest()) {
            scheduleNextRead(RETRY_DELAY)
            return
        }
        cloud.types { result ->
            if (result is CloudResult.Ok) {
                if (types != result.value) storeTypes(result.value)
                types = result.value
                scheduleNextRead(REFRESH_PERIOD)
            } else {
                scheduleNextRead(RETRY_DELAY)
            }
        }
    }

    private fun storeTypes(found: List<MachineType>) {
        val data = MachineTypeList.encode(found)
        // A list that is too large for one value is not stored. Controllers that start then read it
        // from the cloud.
        if (jsonBytes(data) > store.maxValueBytes) return
        val change = WriteOperation(put = MachineTypeList.KEY, data = data)
        store.compareAndSwap(emptyList(), listOf(change), RequestPriority.LEADER) {}
    }

    private fun scheduleNextRead(delay: Micros) {
        isReading = false
        nextReadAt = context.now + delay
    }

    private companion object {
        val REFRESH_PERIOD = 60.seconds
        val RETRY_DELAY = 700.milliseconds
    }
}
