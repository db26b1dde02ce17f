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

/** The cloud, written from PROTOCOL; its list is always late. */
class FakeCloud(
    private val clock: SimulatedClock,
    private val zones: List<String>,
    /** Machines of each zone and kind. */
    private val capacity: Int,
    private val newWorker: (id: String, type: String, zone: String, spot: Boolean) -> FakeWorker,
) {
    private class Box(val id: String, val zone: String, val spot: Boolean, val rentedAt: Micros) {
        var worker: FakeWorker? = null
        var diedAt: Micros? = null
    }

    private val boxes = LinkedHashMap<String, Box>()
    private val hires = HashMap<String, String>()
    private val listings = ArrayDeque<String>()
    private var next = 0
    var down = false

    /** It answers all but deletions. */
    var keepsMachines = false

    /** Chance that a machine never comes up. */
    var stillborn = 0.0

    /** Machines that come up fail every task. */
    var bornSick = false
    val problems = ArrayList<String>()

    init {
        clock.every(1.seconds) {
            listings.addLast(listing())
            if (listings.size > LAG) listings.removeFirst()
        }
    }

    fun workers(): List<FakeWorker> = boxes.values.mapNotNull { it.worker }.filter { it.alive }

    fun rent(zone: String, spot: Boolean): String {
        val id = "i-%06d".format(next++)
        val box = Box(id, zone, spot, clock.now)
        boxes[id] = box
        if (!clock.chance(stillborn)) {
            clock.after(clock.between(1.seconds, 6.seconds)) {
                if (boxes[id] === box)
                    box.worker = newWorker(id, TYPE, zone, spot).also { it.sick = bornSick }
            }
        }
        return id
    }

    /** The machine stops by itself. */
    fun kill(worker: FakeWorker) {
        worker.die()
        boxes[worker.id]?.diedAt = clock.now
    }

    /** A spot machine is taken. */
    fun takeBack(worker: FakeWorker) {
        worker.die()
        boxes.remove(worker.id)
    }

    private fun listing() =
        buildJsonObject {
                putJsonArray("boxes") {
                    for (box in boxes.values) addJsonObject {
                        val diedAt = box.diedAt
                        put("name_id", box.id)
                        put("endpoint", "${box.id}:9000")
                        put("boxkind", TYPE)
                        put("ward", box.zone)
                        put("loaners", box.spot)
                        put(
                            "status",
                            when {
                                diedAt != null && clock.now - diedAt > 30.seconds -> "failed"
                                box.worker == null -> "starting"
                                else -> "running"
                            },
                        )
                        put("held_s", (clock.now - box.rentedAt).inSeconds)
                    }
                }
                put("truncated", false)
            }
            .toString()

    fun handle(method: String, path: String, body: String, answer: (Int, String) -> Unit) {
        if (down) return answer(503, """{"error":"trouble"}""")
        when ("$method ${path.substringBefore('?')}") {
            "GET /machine_types" -> answer(200, types())
            "GET /machines" ->
                // At times older than the one before.
                answer(
                    200,
                    if (listings.isEmpty()) """{"boxes":[],"truncated":false}"""
                    else listings[clock.random.nextInt((listings.size + 1) / 2)],
                )
            "POST /machines" -> rent(body, answer)
            "POST /machines/delete" -> {
                if (keepsMachines) return answer(503, """{"error":"trouble"}""")
                val ids = Json.parseToJsonElement(body).jsonObject.getValue("boxes").jsonArray
                for (id in ids) boxes.remove(id.jsonPrimitive.content)?.worker?.die()
                answer(200, "{}")
            }
            else -> problems.add("unknown call $method $path")
        }
    }

    private fun rent(body: String, answer: (Int, String) -> Unit) {
        val json = Json.parseToJsonElement(body).jsonObject
        val name = json.getValue("hire").jsonPrimitive.content
        hires[name]?.let {
            if (!it.startsWith(body)) problems.add("$name is used twice")
            return answer(200, it.removePrefix(body))
        }
        val zone = json.getValue("ward").jsonPrimitive.content
        val spot = json.getValue("loaners").jsonPrimitive.boolean
        val room = capacity - boxes.values.count { it.zone == zone && it.spot == spot }
        val count = minOf(room, json.getValue("count").jsonPrimitive.int)
        if (count <= 0) return answer(503, """{"error":"no capacity"}""")
        val response = buildJsonObject {
            putJsonArray("boxes") { repeat(count) { add(JsonPrimitive(rent(zone, spot))) } }
        }
        hires[name] = body + response
        answer(200, response.toString())
    }

    private fun types() =
        buildJsonObject {
                putJsonArray("boxkinds") {
                    addJsonObject {
                        put("label", TYPE)
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
        const val TYPE = "mid"
        private const val LAG = 6
    }
}
