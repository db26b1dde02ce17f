package wardmux.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.MachineId
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.serialization.lenientJson

/**
 * The stored form of a task page, which holds the state of a range of a job's tasks. The size and
 * write limits of the key-value store limit how many tasks can start, so values that placements
 * have in common are stored once: placements with equal charges refer to one charge, and placements
 * on the same machine are grouped under its id.
 */
@Serializable
class StoredTaskPage(
    /** The first and the last task of each range of consecutive done tasks, in turn. */
    @SerialName("d") val done: List<Int> = emptyList(),
    /** The costs of the charges. The weight with the same index belongs to the same charge. */
    @SerialName("c") private val costs: List<Long> = emptyList(),
    /** The team's weight of each charge. */
    @SerialName("w") private val weights: List<Double> = emptyList(),
    /** The zones of the machines, without duplicates. */
    @SerialName("z") private val zones: List<String> = emptyList(),
    /** The ids of the machines; an id occurs once for each incarnation of the worker. */
    @SerialName("m") private val machines: List<String> = emptyList(),
    /**
     * For each machine: the incarnation, the index of the zone and the number of placements,
     * followed by the task, the attempt and the index of the charge of each of these placements.
     */
    @SerialName("n") private val numbers: List<Long> = emptyList(),
    /**
     * The task and its last attempt, in turn, for each task that was attempted and is listed
     * neither as done nor as placed.
     */
    @SerialName("a") val tried: List<Int> = emptyList(),
) {
    /** Decodes the placements of tasks of [job]; returns null if this is not a valid page. */
    fun placementsOf(job: Job): List<Placement>? =
        try {
            if (done.size % 2 == 0 && tried.size % 2 == 0) placements(job) else null
        } catch (e: NoSuchElementException) {
            null
        }

    private fun placements(job: Job): List<Placement> {
        val placements = ArrayList<Placement>()
        val remaining = numbers.iterator()
        for (machine in machines) {
            val incarnation = remaining.next()
            val zone = zones.at(remaining.next())
            repeat(remaining.next().toInt()) {
                val task = TaskId(job.id, remaining.next().toInt())
                val attempt = remaining.next().toInt()
                val charge = remaining.next().let { Charge(Cost(costs.at(it)), weights.at(it)) }
                placements.add(
                    Placement(job, task, attempt, MachineId(machine), incarnation, zone, charge)
                )
            }
        }
        return placements
    }

    private fun <T> List<T>.at(index: Long): T =
        getOrElse(index.toInt()) {
            throw NoSuchElementException(
                "index $index is out of range for a list of $size elements"
            )
        }

    companion object {
        /** Weights are rounded to multiples of 1/1000. */
        private const val WEIGHT_STEPS_PER_UNIT = 1e3

        /**
         * Encodes a page with [placements]. [done] contains the first and the last task of each
         * range of done tasks, and [tried] contains tasks, each followed by its last attempt.
         */
        fun encode(done: List<Int>, placements: List<Placement>, tried: List<Int>): JsonElement {
            val charges = LinkedHashMap<Charge, Long>()
            val sharedCharge =
                placements.firstOrNull()?.takeIf { it.job.sharesCharge }?.let(::roundedChargeOf)
            val zones = LinkedHashMap<String, Long>()
            val machines = ArrayList<String>()
            val numbers = ArrayList<Long>()
            for ((worker, group) in placements.groupBy { WorkerId(it.machine, it.incarnation) }) {
                machines.add(worker.machine.value)
                numbers.add(worker.incarnation)
                numbers.add(zones.indexOrAdd(group.first().zone))
                numbers.add(group.size.toLong())
                for (placement in group) {
                    numbers.add(placement.task.index.toLong())
                    numbers.add(placement.attempt.toLong())
                    numbers.add(charges.indexOrAdd(sharedCharge ?: roundedChargeOf(placement)))
                }
            }
            val page =
                StoredTaskPage(
                    done,
                    charges.keys.map { it.cost.value },
                    charges.keys.map { it.weight },
                    zones.keys.toList(),
                    machines,
                    numbers,
                    tried,
                )
            return lenientJson.encodeToJsonElement(serializer(), page)
        }

        /**
         * The charge of [placement] with a rounded weight. Each dispatch changes the team's weight
         * slightly, so that charges would rarely be equal without rounding.
         */
        private fun roundedChargeOf(placement: Placement): Charge {
            val charge = placement.charge
            return charge.copy(
                weight = Math.round(charge.weight * WEIGHT_STEPS_PER_UNIT) / WEIGHT_STEPS_PER_UNIT
            )
        }

        /** Returns the index of [key]; a new key is added with the next index. */
        private fun <K> MutableMap<K, Long>.indexOrAdd(key: K): Long =
            getOrPut(key) { size.toLong() }

        /** One incarnation of the worker of a machine. */
        private data class WorkerId(val machine: MachineId, val incarnation: Long)
    }
}
