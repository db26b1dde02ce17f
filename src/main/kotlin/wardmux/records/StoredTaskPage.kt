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
 * A stretch of a job's tasks, as it is kept. Bytes and changes of the state service are what limits
 * how many tasks can start, so what placements share is written once: those that were placed
 * together have one charge, those on one machine name it once.
 */
@Serializable
class StoredTaskPage(
    /** First and last of each run of done tasks. */
    @SerialName("d") val done: List<Int> = emptyList(),
    @SerialName("c") private val costs: List<Long> = emptyList(),
    @SerialName("w") private val weights: List<Double> = emptyList(),
    @SerialName("z") private val zones: List<String> = emptyList(),
    @SerialName("m") private val machines: List<String> = emptyList(),
    /**
     * For each machine its session, the place of its zone and the number of its placements; then,
     * for each of these, the task, the attempt and the place of its charge.
     */
    @SerialName("n") private val numbers: List<Long> = emptyList(),
    /** Task and last attempt, for those that are neither done nor placed. */
    @SerialName("a") val tried: List<Int> = emptyList(),
) {
    /** Null if what is stored is no page of this job. */
    fun placementsOf(job: Job): List<Placement>? =
        try {
            if (done.size % 2 == 0 && tried.size % 2 == 0) placements(job) else null
        } catch (e: IndexOutOfBoundsException) {
            null
        } catch (e: NoSuchElementException) {
            null
        }

    private fun placements(job: Job): List<Placement> {
        val placements = ArrayList<Placement>()
        val rest = numbers.iterator()
        for (machine in machines) {
            val incarnation = rest.next()
            val zone = zones[rest.next().toInt()]
            repeat(rest.next().toInt()) {
                val task = TaskId(job.id, rest.next().toInt())
                val attempt = rest.next().toInt()
                val charge = rest.next().toInt().let { Charge(Cost(costs[it]), weights[it]) }
                placements.add(
                    Placement(job, task, attempt, MachineId(machine), incarnation, zone, charge)
                )
            }
        }
        return placements
    }

    companion object {
        /** Weights are kept to three digits after the point. */
        private const val WEIGHT_STEPS = 1e3

        /** The page that holds this. */
        fun of(done: List<Int>, placed: List<Placement>, tried: List<Int>): JsonElement {
            val charges = LinkedHashMap<Charge, Long>()
            val shared = placed.firstOrNull()?.takeIf { it.job.sharesCharge }?.let(::chargeOf)
            val zones = LinkedHashMap<String, Long>()
            val machines = ArrayList<String>()
            val numbers = ArrayList<Long>()
            for ((place, there) in placed.groupBy { it.machine to it.incarnation }) {
                machines.add(place.first.value)
                numbers.add(place.second)
                numbers.add(zones.place(there.first().zone))
                numbers.add(there.size.toLong())
                for (placement in there) {
                    numbers.add(placement.task.index.toLong())
                    numbers.add(placement.attempt.toLong())
                    numbers.add(charges.place(shared ?: chargeOf(placement)))
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

        /** Rounded before it is compared: each dispatch moves its team's weight by a trifle. */
        private fun chargeOf(placement: Placement): Charge {
            val charge = placement.charge
            return charge.copy(weight = Math.round(charge.weight * WEIGHT_STEPS) / WEIGHT_STEPS)
        }

        private fun <K> MutableMap<K, Long>.place(key: K): Long = getOrPut(key) { size.toLong() }
    }
}
