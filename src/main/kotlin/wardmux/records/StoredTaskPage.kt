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
 * The stored form of a task page: the state of a range of a job's tasks. How many tasks can start
 * is limited by the bytes and writes of the key-value store, so what placements share is written
 * once: those that were placed together have one charge, those on one machine name it once.
 */
@Serializable
class StoredTaskPage(
    /** First and last task of each run of done tasks. */
    @SerialName("d") val done: List<Int> = emptyList(),
    @SerialName("c") private val costs: List<Long> = emptyList(),
    @SerialName("w") private val weights: List<Double> = emptyList(),
    @SerialName("z") private val zones: List<String> = emptyList(),
    @SerialName("m") private val machines: List<String> = emptyList(),
    /**
     * For each machine its incarnation, the index of its zone and the number of its placements;
     * then, for each of these, the task, the attempt and the index of its charge.
     */
    @SerialName("n") private val numbers: List<Long> = emptyList(),
    /** Task and last attempt, for those that are neither done nor placed. */
    @SerialName("a") val tried: List<Int> = emptyList(),
) {
    /** The placements of tasks of [job]; null if this is no valid page of the job. */
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
        getOrElse(index.toInt()) { throw NoSuchElementException("index $index of $size") }

    companion object {
        /** Weights are kept to three digits after the point. */
        private const val WEIGHT_STEPS_PER_UNIT = 1e3

        /**
         * The encoded page with [placements]; [done] holds the first and last task of each run, and
         * [tried] holds tasks with their last attempts.
         */
        fun encode(done: List<Int>, placements: List<Placement>, tried: List<Int>): JsonElement {
            val charges = LinkedHashMap<Charge, Long>()
            val sharedCharge =
                placements.firstOrNull()?.takeIf { it.job.sharesCharge }?.let(::roundedChargeOf)
            val zones = LinkedHashMap<String, Long>()
            val machines = ArrayList<String>()
            val numbers = ArrayList<Long>()
            for ((host, hostPlacements) in
                placements.groupBy { MachineIncarnation(it.machine, it.incarnation) }) {
                machines.add(host.machine.value)
                numbers.add(host.incarnation)
                numbers.add(zones.indexOrAdd(hostPlacements.first().zone))
                numbers.add(hostPlacements.size.toLong())
                for (placement in hostPlacements) {
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

        /** Rounded before it is compared: each dispatch changes its team's weight a little. */
        private fun roundedChargeOf(placement: Placement): Charge {
            val charge = placement.charge
            return charge.copy(
                weight = Math.round(charge.weight * WEIGHT_STEPS_PER_UNIT) / WEIGHT_STEPS_PER_UNIT
            )
        }

        /** The index of [key], which is the next one if it is new. */
        private fun <K> MutableMap<K, Long>.indexOrAdd(key: K): Long =
            getOrPut(key) { size.toLong() }

        private data class MachineIncarnation(val machine: MachineId, val incarnation: Long)
    }
}
