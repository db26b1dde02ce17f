package wardmux.cloud

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.model.MachineType

/** The machine types that the cloud rents out. */
@Serializable
internal class MachineTypesResponse(@SerialName("boxkinds") val types: List<MachineType>)

/**
 * A request for machines of one kind. Repeating it with the same [id] rents no further machines.
 */
@Serializable
data class RentalRequest(
    @SerialName("hire") val id: String,
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean,
    @SerialName("count") val count: Int,
)

/** The ids of machines that were rented or that are to be deleted. */
@Serializable internal class MachineIds(@SerialName("boxes") val ids: List<String>)

/** A machine in the cloud's list. */
@Serializable
data class ListedMachine(
    @SerialName("name_id") val id: String,
    @SerialName("endpoint") val endpoint: String = "",
    @SerialName("boxkind") val type: String,
    @SerialName("ward") val zone: String,
    @SerialName("loaners") val spot: Boolean = false,
    @SerialName("status") val status: String,
    /** The time since the machine was rented, in seconds. */
    @SerialName("held_s") val heldS: Double = 0.0,
) {
    internal companion object {
        /** The [status] of a machine that has booted. */
        const val RUNNING = "running"

        /** The [status] of a machine that stopped without a request to delete it. */
        const val FAILED = "failed"
    }
}

/** One page of the cloud's list. */
@Serializable
internal class MachineListResponse(
    @SerialName("boxes") val machines: List<ListedMachine>,
    /** True if more machines follow the last one of this page. */
    @SerialName("truncated") val truncated: Boolean = false,
)
