package wardmux.cloud

import kotlinx.serialization.SerializationException
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.logging.logger
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.serialization.lenientJson

/** The outcome of a request to the cloud. */
sealed interface CloudResult<out T> {
    /** The request was carried out. */
    data class Ok<T>(val value: T) : CloudResult<T>

    /**
     * The request was not carried out. With [noCapacity] the cause is that the cloud has no such
     * machines for now.
     */
    data class Refused(val noCapacity: Boolean) : CloudResult<Nothing>

    /** The request may or may not have been carried out. */
    data object Indeterminate : CloudResult<Nothing>
}

/**
 * The client of the cloud's API. It stays below the limit of [rps] requests a second as long as
 * callers send a request only after [canSendRequest] returned true.
 */
class CloudClient(private val context: CoreContext, rps: Double) {
    private val log = logger<CloudClient>()
    private val allowedRps = rps * USED_RATE_SHARE
    private var availableRequests = allowedRps
    private var refilledAt = context.now

    /** False if a request now would exceed the rate limit; the caller then tries again later. */
    fun canSendRequest(): Boolean {
        availableRequests =
            (availableRequests + (context.now - refilledAt).inSeconds * allowedRps).coerceAtMost(
                allowedRps * 2
            )
        refilledAt = context.now
        return availableRequests >= 1
    }

    /** Reads the machine types and their prices. */
    fun types(onResult: (CloudResult<List<MachineType>>) -> Unit) =
        call("GET", "/machine_types", "", onResult) {
            lenientJson.decodeFromString(MachineTypesResponse.serializer(), it).types
        }

    /** Rents machines; the result lists those available, which may be fewer than requested. */
    fun rent(request: RentalRequest, onResult: (CloudResult<List<String>>) -> Unit) =
        call(
            "POST",
            "/machines",
            lenientJson.encodeToString(RentalRequest.serializer(), request),
            onResult,
        ) {
            lenientJson.decodeFromString(MachineIds.serializer(), it).ids
        }

    /** Deletes machines. */
    fun delete(ids: List<String>, onResult: (CloudResult<Unit>) -> Unit) {
        val body = lenientJson.encodeToString(MachineIds.serializer(), MachineIds(ids))
        call("POST", "/machines/delete", body, onResult) {}
    }

    /** Reads the whole list of machines, page by page. */
    fun list(onResult: (CloudResult<List<ListedMachine>>) -> Unit) =
        listFrom(null, ArrayList(), onResult)

    private fun listFrom(
        afterId: String?,
        found: MutableList<ListedMachine>,
        onResult: (CloudResult<List<ListedMachine>>) -> Unit,
    ) {
        val path =
            "/machines?limit=$MACHINE_LIST_PAGE_SIZE" +
                if (afterId == null) "" else "&from=$afterId"
        val onPage: (CloudResult<MachineListResponse>) -> Unit = { result ->
            when (result) {
                is CloudResult.Ok -> {
                    found.addAll(result.value.machines)
                    val last = result.value.machines.lastOrNull()
                    if (result.value.truncated && last != null) listFrom(last.id, found, onResult)
                    else onResult(CloudResult.Ok(found))
                }
                is CloudResult.Refused -> onResult(result)
                is CloudResult.Indeterminate -> onResult(result)
            }
        }
        call("GET", path, "", onPage) {
            lenientJson.decodeFromString(MachineListResponse.serializer(), it)
        }
    }

    private fun <T> call(
        method: String,
        path: String,
        body: String,
        onResult: (CloudResult<T>) -> Unit,
        decode: (String) -> T,
    ) {
        availableRequests -= 1
        context.send(Target.Cloud, method, path, body.encodeToByteArray(), REQUEST_TIMEOUT) {
            outcome ->
            onResult(interpret(outcome, decode))
        }
    }

    private fun <T> interpret(outcome: Outcome, decode: (String) -> T): CloudResult<T> {
        if (outcome is Outcome.NotSent) return CloudResult.Refused(noCapacity = false)
        if (outcome !is Outcome.Response) return CloudResult.Indeterminate
        return when (outcome.status) {
            HttpStatus.OK ->
                try {
                    CloudResult.Ok(decode(outcome.text))
                } catch (e: SerializationException) {
                    log.error("cannot decode the cloud's response with status 200: {}", e.message)
                    CloudResult.Indeterminate
                }
            HttpStatus.SERVICE_UNAVAILABLE ->
                CloudResult.Refused(noCapacity = "no capacity" in outcome.text)
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.BAD_REQUEST -> CloudResult.Refused(noCapacity = false)
            else -> CloudResult.Indeterminate
        }
    }

    private companion object {
        /** The share of the rate limit that is used. */
        const val USED_RATE_SHARE = 0.8
        const val MACHINE_LIST_PAGE_SIZE = 500
        val REQUEST_TIMEOUT = 5.seconds
    }
}
