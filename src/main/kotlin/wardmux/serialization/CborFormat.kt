package wardmux.serialization

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** The format of messages between controllers: CBOR. Unknown fields are ignored when decoding. */
@OptIn(ExperimentalSerializationApi::class)
object CborFormat {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value] as CBOR. */
    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /**
     * Decodes [bytes]; returns null if they do not contain such a message. Any [RuntimeException]
     * is caught because the decoder throws exceptions of several types for bytes that are not CBOR.
     */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            null
        }
}
