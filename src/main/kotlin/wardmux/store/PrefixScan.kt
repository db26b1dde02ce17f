package wardmux.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import wardmux.core.HttpStatus
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.serialization.lenientJson

/**
 * Reads all keys under [prefix], page by page. [onResult] gets the keys, or null if the request for
 * a page failed.
 */
internal class PrefixScan<T : Any>(
    private val client: StoreClient,
    private val prefix: String,
    private val valueSerializer: KSerializer<T>,
    private val priority: RequestPriority,
    private val timeout: Micros,
    private val onResult: (ScanResult<T>?) -> Unit,
) {
    private val log = logger<PrefixScan<*>>()
    private val items = ArrayList<ScannedKey<T>>()
    private var firstRevision = Revision.ZERO

    /** Requests the first page. Each further page is requested when the previous one arrives. */
    fun start() = readPage(null)

    private fun readPage(fromKey: String?) {
        val path =
            "/keys?under=$prefix&limit=$PAGE_SIZE" + if (fromKey == null) "" else "&from=$fromKey"
        val request =
            StoreRequest(priority, "GET", path, timeout) { status, text ->
                if (status == HttpStatus.OK) StoreResult.Ok(decodePage(text))
                else StoreClient.failure(status)
            }
        client.submit(request) { result ->
            if (result is StoreResult.Ok) addPage(result.value, isFirst = fromKey == null)
            else onResult(null)
        }
    }

    private fun addPage(page: KeyPageWire<T>, isFirst: Boolean) {
        if (isFirst) firstRevision = page.revision
        items.addAll(page.items)
        if (page.truncated && page.items.isNotEmpty()) readPage(page.items.last().key)
        else onResult(ScanResult(items, firstRevision))
    }

    private fun decodePage(text: String): KeyPageWire<T> =
        try {
            lenientJson.decodeFromString(KeyPageWire.serializer(valueSerializer), text)
        } catch (e: IllegalArgumentException) {
            log.error(
                "failed to decode a value under the key prefix {}: {}",
                prefix,
                e.message?.lineSequence()?.first(),
            )
            decodeEach(text)
        }

    /**
     * Decodes the values of a page one by one. A value that cannot be decoded becomes null, so that
     * it does not prevent the others from being read.
     */
    private fun decodeEach(text: String): KeyPageWire<T> {
        val page =
            lenientJson.decodeFromString(KeyPageWire.serializer(JsonElement.serializer()), text)
        val items =
            page.items.map { item ->
                val value =
                    try {
                        item.data?.let { lenientJson.decodeFromJsonElement(valueSerializer, it) }
                    } catch (e: IllegalArgumentException) {
                        null
                    }
                ScannedKey(item.key, value, item.version)
            }
        return KeyPageWire(items, page.truncated, page.revision)
    }

    private companion object {
        const val PAGE_SIZE = 1_000
    }
}
