package wardmux.drain

import java.time.DateTimeException
import java.time.OffsetDateTime
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.scheduling.ClusterState

/** Resolves the selectors of drains to machines. */
class DrainSelection(private val cluster: ClusterState) {
    /**
     * The id of the newest known machine, empty if there is none. Machine ids are ordered by the
     * time of creation, so it is the largest id.
     */
    val newest: String
        get() = cluster.machines.keys.maxOfOrNull { it.value }.orEmpty()

    /** Machines that the drain still has to return; none if the drain has ended. */
    fun remaining(record: DrainRecord): List<Machine> =
        if (record.state.isFinal) emptyList() else targets(record.request, record.newest)

    /**
     * Machines that [request] selects and that are not decommissioned. Machines newer than the id
     * [newest] are left out unless the request names them, because the replacements for drained
     * machines are among them.
     */
    fun targets(request: DrainRequest, newest: String): List<Machine> {
        val latestRental = request.select.olderThan?.let { parseTime(it) }
        return cluster.machines.values.filter { machine ->
            !machine.isDecommissioned &&
                isSelected(request.select, machine) &&
                (machine.id.value <= newest || machine.id.value in request.select.machines) &&
                (latestRental == null || machine.rentedBefore?.let { it <= latestRental } == true)
        }
    }

    private fun isSelected(select: DrainSelector, machine: Machine) =
        (select.machines.isEmpty() || machine.id.value in select.machines) &&
            (select.types.isEmpty() || machine.type.label in select.types) &&
            (select.zones.isEmpty() || machine.zone in select.zones) &&
            (select.spot == null || machine.spot == select.spot)

    /**
     * One line with the field and value of the first selected type, zone or machine that does not
     * exist; null if all exist.
     */
    fun unknownNameProblem(
        select: DrainSelector,
        types: List<MachineType>,
        zones: List<String>,
    ): String? {
        val labels = types.map { it.label }
        return select.types
            .firstOrNull { it !in labels }
            ?.let { "select.types: unknown machine type: $it" }
            ?: select.zones.firstOrNull { it !in zones }?.let { "select.zones: unknown zone: $it" }
            ?: select.machines
                .firstOrNull { MachineId(it) !in cluster.machines }
                ?.let { "select.machines: unknown machine: $it" }
    }

    companion object {
        private const val MICROS_PER_MILLI = 1_000L

        /** Parses an ISO 8601 time with an offset; null if [text] is not one. */
        fun parseTime(text: String): Micros? =
            try {
                Micros(OffsetDateTime.parse(text).toInstant().toEpochMilli() * MICROS_PER_MILLI)
            } catch (e: DateTimeException) {
                null
            }
    }
}
