package wardmux.cloud

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import wardmux.core.CoreContext
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.serialization.lenientJson

@Serializable private class TypesWire(@SerialName("boxkinds") val boxkinds: List<MachineType>)

@Serializable
data class RentalOrder(
    @SerialName("hire") val hire: String,
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("count") val count: Int,
)

@Serializable private class BoxesWire(@SerialName("boxes") val boxes: List<String>)

@Serializable
data class ListedMachine(
    @SerialName("name_id") val id: String,
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("status") val status: String,
    @SerialName("held_s") val heldS: Double = 0.0,
)

@Serializable
private class ListWire(
    @SerialName("boxes") val boxes: List<ListedMachine>,
    @SerialName("truncated") val truncated: Boolean = false,
)

sealed interface CloudResult<out T> {
    data class Ok<T>(val value: T) : CloudResult<T>

    /** Refused, and surely not done. */
    data class Refused(val noCapacity: Boolean) : CloudResult<Nothing>

    data object Indeterminate : CloudResult<Nothing>
}

/** The cloud by its protocol, within this controller's share of the call limit. */
class CloudClient(private val context: CoreContext, rps: Double) {
    private val log = logger<CloudClient>()
    private val rate = rps * MARGIN
    private var tokens = rate
    private var refilledAt = context.now

    /** False if a call now would pass the limit; the caller tries again later. */
    fun ready(): Boolean {
        tokens = (tokens + (context.now - refilledAt).inSeconds * rate).coerceAtMost(rate * 2)
        refilledAt = context.now
        return tokens >= 1
    }

    fun types(then: (CloudResult<List<MachineType>>) -> Unit) =
        call("GET", "/machine_types", "", then) {
            lenientJson.decodeFromString(TypesWire.serializer(), it).boxkinds
        }

    fun hire(order: RentalOrder, then: (CloudResult<List<String>>) -> Unit) =
        call(
            "POST",
            "/machines",
            lenientJson.encodeToString(RentalOrder.serializer(), order),
            then,
        ) {
            lenientJson.decodeFromString(BoxesWire.serializer(), it).boxes
        }

    fun delete(ids: List<String>, then: (CloudResult<Unit>) -> Unit) {
        val body = lenientJson.encodeToString(BoxesWire.serializer(), BoxesWire(ids))
        call("POST", "/machines/delete", body, then) {}
    }

    /** The whole list, or nothing. */
    fun list(then: (CloudResult<List<ListedMachine>>) -> Unit) = listFrom(null, ArrayList(), then)

    private fun listFrom(
        from: String?,
        found: MutableList<ListedMachine>,
        then: (CloudResult<List<ListedMachine>>) -> Unit,
    ) {
        val path = "/machines?limit=$LIST_LIMIT" + if (from == null) "" else "&from=$from"
        val next: (CloudResult<ListWire>) -> Unit = { result ->
            when (result) {
                is CloudResult.Ok -> {
                    found.addAll(result.value.boxes)
                    val last = result.value.boxes.lastOrNull()
                    if (result.value.truncated && last != null) listFrom(last.id, found, then)
                    else then(CloudResult.Ok(found))
                }
                is CloudResult.Refused -> then(result)
                is CloudResult.Indeterminate -> then(result)
            }
        }
        call("GET", path, "", next) { lenientJson.decodeFromString(ListWire.serializer(), it) }
    }

    private fun <T> call(
        method: String,
        path: String,
        body: String,
        then: (CloudResult<T>) -> Unit,
        read: (String) -> T,
    ) {
        tokens -= 1
        context.send(Target.Cloud, method, path, body.encodeToByteArray(), TIMEOUT) { outcome ->
            then(interpret(outcome, read))
        }
    }

    private fun <T> interpret(outcome: Outcome, read: (String) -> T): CloudResult<T> {
        if (outcome is Outcome.NotSent) return CloudResult.Refused(noCapacity = false)
        if (outcome !is Outcome.Response) return CloudResult.Indeterminate
        return when (outcome.status) {
            200 ->
                try {
                    CloudResult.Ok(read(outcome.text))
                } catch (e: SerializationException) {
                    log.error("cloud answered: {}", e.message)
                    CloudResult.Indeterminate
                }
            503 -> CloudResult.Refused(noCapacity = "no capacity" in outcome.text)
            429,
            400 -> CloudResult.Refused(noCapacity = false)
            else -> CloudResult.Indeterminate
        }
    }

    private companion object {
        const val MARGIN = 0.8
        const val LIST_LIMIT = 500
        val TIMEOUT = 5.seconds
    }
}
