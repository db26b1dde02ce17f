package wardmux.sim

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import wardmux.model.Micros
import wardmux.model.seconds

/** A fake of the cloud, written from the protocol. Its list of machines is always outdated. */
class FakeCloud(
    private val clock: SimulatedClock,
    private val zones: List<String>,
    /** The most spot machines, and the most on-demand machines, that are rented in a zone. */
    private val capacityPerZone: Int,
    private val newWorker: (id: String, type: String, zone: String, spot: Boolean) -> FakeWorker,
) {
    private class RentedMachine(
        val id: String,
        val zone: String,
        val spot: Boolean,
        val rentedAt: Micros,
    ) {
        var worker: FakeWorker? = null
        var crashedAt: Micros? = null
    }

    private val machines = LinkedHashMap<String, RentedMachine>()
    private val rentalResponses = HashMap<String, String>()
    private val recentListings = ArrayDeque<String>()
    private var nextMachineNumber = 0

    /** Whether every request gets a 503 response. */
    var unavailable = false

    /** Whether deletions get a 503 response while all other requests succeed. */
    var refusesDeletions = false

    /** The probability that a rented machine never starts. */
    var startFailureProbability = 0.0

    /** The shortest and the longest time that a machine takes to start. */
    var bootTimes = 1.seconds..6.seconds

    /** Whether machines that start from now on fail every task. */
    var newMachinesFailTasks = false

    /** Requests of controllers that violate the protocol. */
    val protocolViolations = ArrayList<String>()

    init {
        clock.every(1.seconds) {
            recentListings.addLast(listing())
            if (recentListings.size > RETAINED_LISTINGS) recentListings.removeFirst()
        }
    }

    /** The workers of all machines that have started and not crashed. */
    fun workers(): List<FakeWorker> = machines.values.mapNotNull { it.worker }.filter { it.alive }

    /** Rents a machine, which starts within [bootTimes], and returns its ID. */
    fun rent(zone: String, spot: Boolean): String {
        val id = "i-%06d".format(nextMachineNumber++)
        val machine = RentedMachine(id, zone, spot, clock.now)
        machines[id] = machine
        if (!clock.chance(startFailureProbability)) {
            clock.after(clock.randomBetween(bootTimes.start, bootTimes.endInclusive)) {
                if (machines[id] === machine)
                    machine.worker =
                        newWorker(id, MACHINE_TYPE_NAME, zone, spot).also {
                            it.failsEveryTask = newMachinesFailTasks
                        }
            }
        }
        return id
    }

    /** Crashes the machine. The cloud still lists it, with the status failed after 30 s. */
    fun crash(worker: FakeWorker) {
        worker.crash()
        machines[worker.id]?.crashedAt = clock.now
    }

    /** Reclaims a spot machine: it crashes and disappears from the list. */
    fun reclaimSpot(worker: FakeWorker) {
        worker.crash()
        machines.remove(worker.id)
    }

    /**
     * Takes back all spot machines that were rented at least [age] ago and have not started yet:
     * they disappear from the list. Returns how many there were.
     */
    fun reclaimStartingSpot(age: Micros = Micros.ZERO): Int {
        val starting =
            machines.values.filter {
                it.spot && it.worker == null && clock.now - it.rentedAt >= age
            }
        for (machine in starting) machines.remove(machine.id)
        return starting.size
    }

    private fun listing() =
        buildJsonObject {
                putJsonArray("boxes") {
                    for (machine in machines.values) addJsonObject {
                        val crashedAt = machine.crashedAt
                        put("name_id", machine.id)
                        put("endpoint", "${machine.id}:9000")
                        put("boxkind", MACHINE_TYPE_NAME)
                        put("ward", machine.zone)
                        put("loaners", machine.spot)
                        put(
                            "status",
                            when {
                                crashedAt != null && clock.now - crashedAt > 30.seconds -> "failed"
                                machine.worker == null -> "starting"
                                else -> "running"
                            },
                        )
                        put("held_s", (clock.now - machine.rentedAt).inSeconds)
                    }
                }
                put("truncated", false)
            }
            .toString()

    fun handle(method: String, path: String, body: String, answer: (Int, String) -> Unit) {
        if (unavailable) return answer(503, """{"error":"trouble"}""")
        when ("$method ${path.substringBefore('?')}") {
            "GET /machine_types" -> answer(200, machineTypes())
            "GET /machines" ->
                // A response can be older than the previous one.
                answer(
                    200,
                    if (recentListings.isEmpty()) """{"boxes":[],"truncated":false}"""
                    else recentListings[clock.random.nextInt((recentListings.size + 1) / 2)],
                )
            "POST /machines" -> rent(body, answer)
            "POST /machines/delete" -> {
                if (refusesDeletions) return answer(503, """{"error":"trouble"}""")
                val ids = Json.parseToJsonElement(body).jsonObject.getValue("boxes").jsonArray
                for (id in ids) machines.remove(id.jsonPrimitive.content)?.worker?.crash()
                answer(200, "{}")
            }
            else -> protocolViolations.add("request to the cloud with unknown route: $method $path")
        }
    }

    private fun rent(body: String, answer: (Int, String) -> Unit) {
        val json = Json.parseToJsonElement(body).jsonObject
        val name = json.getValue("hire").jsonPrimitive.content
        rentalResponses[name]?.let {
            if (!it.startsWith(body))
                protocolViolations.add("rental name $name is reused for a different request")
            return answer(200, it.removePrefix(body))
        }
        val zone = json.getValue("ward").jsonPrimitive.content
        val spot = json.getValue("loaners").jsonPrimitive.boolean
        val available =
            capacityPerZone - machines.values.count { it.zone == zone && it.spot == spot }
        val count = minOf(available, json.getValue("count").jsonPrimitive.int)
        if (count <= 0) return answer(503, """{"error":"no capacity"}""")
        val response = buildJsonObject {
            putJsonArray("boxes") { repeat(count) { add(JsonPrimitive(rent(zone, spot))) } }
        }
        rentalResponses[name] = body + response
        answer(200, response.toString())
    }

    private fun machineTypes() =
        buildJsonObject {
                putJsonArray("boxkinds") {
                    addJsonObject {
                        put("label", MACHINE_TYPE_NAME)
                        put("cores", FakeWorker.CPUS)
                        put("mem_gb", 64.0)
                        put("local_gb", 50.0)
                        put("pull_gb_per_s", 1.0)
                        put("hourly", 1.0)
                        put("spot_price", 0.4)
                        put("boot_s", 5.0)
                        putJsonArray("wards") { for (zone in zones) add(zone) }
                    }
                }
            }
            .toString()

    companion object {
        const val MACHINE_TYPE_NAME = "mid"

        /**
         * The number of listings that are retained, one per second. Responses use the older half of
         * them.
         */
        private const val RETAINED_LISTINGS = 6
    }
}
