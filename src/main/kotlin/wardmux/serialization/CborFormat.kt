package wardmux.serialization

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** How controllers write what they tell each other. */
@OptIn(ExperimentalSerializationApi::class)
object CborFormat {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** [value] as CBOR. */
    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /** Null if it is none; on bytes that are no CBOR the decoder fails in more than one way. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            null
        }
}
