package wardmux.records

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import wardmux.model.MachineType
import wardmux.serialization.lenientJson

/** The stored form of the machine types that the cloud offers. */
object MachineTypeList {
    /** The key of the list in the key-value store. */
    const val KEY = "types"
    private val serializer = ListSerializer(MachineType.serializer())

    /** Encodes [types] in their stored form. */
    fun encode(types: List<MachineType>): JsonElement =
        lenientJson.encodeToJsonElement(serializer, types)

    /** Decodes the machine types in [json]; returns null if it is not a valid list. */
    fun decode(json: JsonElement): List<MachineType>? =
        try {
            lenientJson.decodeFromJsonElement(serializer, json)
        } catch (e: IllegalArgumentException) {
            null
        }
}
