package wardmux.serialization

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** The format of messages between controllers: CBOR, by which unknown fields are ignored. */
@OptIn(ExperimentalSerializationApi::class)
object CborFormat {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value]. */
    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        cbor.encodeToByteArray(serializer, value)

    /**
     * Decodes [bytes]; null if they hold no such message. On bytes that are not CBOR the decoder
     * fails in more than one way.
     */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            null
        }
}
