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
 * The machine types, kept in the state service so that an outage of the cloud does not keep a fresh
 * controller from deciding.
 */
class MachineTypeCatalog(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val cloud: CloudClient,
) : MachineTypes {
    override var types: List<MachineType>? = null
        private set

    private var askAt = Micros.LONG_AGO
    private var busy = false

    /** Only the leader asks for current prices; the others need no more than what is known. */
    fun tick(leading: Boolean) {
        if (busy || context.now < askAt) return
        if (types != null && !leading) return
        busy = true
        if (types == null) readStored() else askCloud()
    }

    private fun readStored() {
        store.get(MachineTypeList.KEY) { result ->
            val stored =
                if (result is StoreResult.Ok) MachineTypeList.decode(result.value.data) else null
            if (stored != null) {
                types = stored
                again(REFRESH)
            } else {
                askCloud()
            }
        }
    }

    private fun askCloud() {
        if (!cloud.ready()) {
            again(RETRY)
            return
        }
        cloud.types { result ->
            if (result is CloudResult.Ok) {
                if (types != result.value) keep(result.value)
                types = result.value
                again(REFRESH)
            } else {
                again(RETRY)
            }
        }
    }

    private fun keep(found: List<MachineType>) {
        val data = MachineTypeList.encode(found)
        // Too large to keep: whoever starts asks the cloud.
        if (jsonBytes(data) > store.maxValueBytes) return
        val change = WriteOperation(put = MachineTypeList.KEY, data = data)
        store.compareAndSwap(emptyList(), listOf(change), RequestPriority.LEADER) {}
    }

    private fun again(pause: Micros) {
        busy = false
        askAt = context.now + pause
    }

    private companion object {
        val REFRESH = 60.seconds
        val RETRY = 700.milliseconds
    }
}
