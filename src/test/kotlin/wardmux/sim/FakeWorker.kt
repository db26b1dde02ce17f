package wardmux.sim

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.double
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import wardmux.config.WorkerTiming
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** How a worker reaches a controller: status and body, or null for no response. */
typealias SimulatedHeartbeat = (node: String, body: String, answer: (Int, String) -> Unit) -> Unit

/** A worker, written from PROTOCOL. */
class FakeWorker(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    private val clock: SimulatedClock,
    private val deployment: WorkerTiming,
    private val nodes: List<String>,
    private val invariants: Invariants,
    private val specOf: (String) -> JobSpec?,
    private val gangs: FakeGangs = FakeGangs(clock, invariants),
    /** Where it takes direct commands. */
    private val endpoint: String = "$id:9000",
    private val send: SimulatedHeartbeat,
) {
    private class Task(val name: String, val attempt: Int) {
        var status = "fetching"
        var cause: String? = null
        var kept = false
        val job = name.substringBefore('/')
        val index = name.substringAfter('/').toInt()

        /** Of a gang's task that has its image. */
        var seat: GangTask? = null
    }

    private inner class Seat(private val task: Task) : GangTask {
        override val job = task.job
        override val index = task.index
        override val attempt = task.attempt
        override val isUnresponsive
            get() = this@FakeWorker.hanging

        override fun startRunning() = begins(task)

        override fun exit(cause: String, progressSaved: Boolean) {
            task.kept = progressSaved
            end(task, cause, done = cause == "done")
        }
    }

    private val tasks = LinkedHashMap<Pair<String, Int>, Task>()
    private val results = HashSet<String>()

    /** Tasks that have not ended. */
    val tasksThere: Int
        get() = tasks.values.count { it.status != "ended" }

    /** How each task of [job] that has not ended is here, by its number. */
    fun statesOf(job: String): Map<Int, String> =
        tasks.values
            .filter { it.job == job && it.status != "ended" }
            .associate { it.index to it.status }

    /** Tasks that began to run here. */
    var starts = 0
        private set

    private var incarnation = 1L

    /** Sessions that it has had. */
    val sessions: Long
        get() = incarnation

    /** It has taken this token. */
    fun hasToken(leaders: Long?): Boolean = token == leaders

    private var tick = 0L
    private var token = 0L
    private var answeredSentAt = clock.now
    private var node = clock.random.nextInt(nodes.size)
    private var busy = false
    private var nextAt = clock.now
    private var lastSentAt = Micros.LONG_AGO
    private var changed = true
    var alive = true
        private set

    /** It executes nothing, but may go on at any time. */
    var hanging = false

    /** Every task that it starts fails. */
    var sick = false

    /** Its connections do not last: each report goes to another controller. */
    var wanders = false
    var recallS: Double? = null
        set(value) {
            field = value
            changed = true
        }

    init {
        clock.every(100.milliseconds) { if (alive && !hanging) step() }
    }

    /** What this machine has and holds, fetching tasks included. */
    fun view(): MachineView {
        val held = tasks.values.filter { it.status != "ended" }
        return MachineView(
            id,
            type,
            zone,
            spot,
            CPUS - held.sumOf { specOf(it.job)?.cpus ?: 0.0 },
            held.map { it.job to it.index },
        )
    }

    /** The machine stops with all that is on it. */
    fun die() {
        alive = false
        for (task in tasks.values) lose(task)
        tasks.clear()
    }

    /** It ends with its machine or its incarnation. */
    private fun lose(task: Task) {
        leave(task, done = false)
        if (task.status != "ended")
            invariants.disruptions.recordDisruption(clock.now, task.name, DisruptionCause.CRASHED)
    }

    private fun leave(task: Task, done: Boolean) {
        if (task.status in onMachine) invariants.recordTaskEnd(task.job, task.index, id, done)
        task.seat?.let(gangs::removeTask)
    }

    private fun step() {
        if (clock.now - answeredSentAt > deployment.leaseS.seconds) {
            for (task in tasks.values) lose(task)
            tasks.clear()
            incarnation++
            tick = 0
            answeredSentAt = clock.now
            changed = true
        }
        val due = clock.now >= nextAt || (changed && clock.now - lastSentAt >= 500.milliseconds)
        if (!busy && due) report()
    }

    fun reportBody() =
        buildJsonObject {
                put("box", id)
                put("endpoint", endpoint)
                put("boxkind", type)
                put("ward", zone)
                put("loaners", spot)
                put("shift", incarnation)
                put("tick", ++tick)
                put("baton", token)
                recallS?.let { put("recall_s", it) }
                putJsonArray("pieces") {
                    for (task in tasks.values) addJsonObject {
                        put("piece", task.name)
                        put("try", task.attempt)
                        put("status", task.status)
                        if (task.cause != null) put("cause", task.cause)
                        if (task.kept) put("kept", true)
                    }
                }
            }
            .toString()

    /** Its connection breaks, and it reports to [controller] at once. */
    fun turnTo(controller: String) {
        call++
        busy = false
        node = nodes.indexOf(controller)
        nextAt = clock.now
    }

    /** Counts its reports: an answer to an earlier one is not waited for any more. */
    private var call = 0

    private fun report() {
        busy = true
        val own = ++call
        changed = false
        val sentAt = clock.now
        lastSentAt = sentAt
        val sentIn = incarnation
        nextAt =
            sentAt +
                clock.between(
                    (deployment.heartbeatPeriodS * 0.75).seconds,
                    (deployment.heartbeatPeriodS * 1.25).seconds,
                )
        var over = false
        fun end(next: Boolean) {
            over = true
            busy = false
            if (next) {
                node = (node + 1) % nodes.size
                nextAt = clock.now + 1.seconds
            }
        }
        clock.after(4.seconds) { if (!over && own == call) end(next = true) }
        send(nodes[node], reportBody()) { status, body ->
            // Dropped after four seconds: commands in such a response are not executed.
            if (over || own != call || !alive || hanging) return@send
            when (status) {
                200 -> {
                    end(next = false)
                    if (wanders) node = (node + 1) % nodes.size
                    if (sentIn == incarnation)
                        take(Json.parseToJsonElement(body).jsonObject, sentAt)
                }
                421 -> {
                    val steward =
                        if (body.isEmpty()) null
                        else
                            Json.parseToJsonElement(body)
                                .jsonObject["steward"]
                                ?.jsonPrimitive
                                ?.content
                    val index = nodes.indexOf(steward)
                    end(next = index < 0 || index == node)
                    if (index >= 0 && index != node) {
                        node = index
                        nextAt = clock.now + clock.between(Micros.ZERO, 500.milliseconds)
                    }
                }
                else -> end(next = true)
            }
        }
    }

    private fun take(answer: JsonObject, sentAt: Micros) {
        val given = answer["baton"]?.jsonPrimitive?.long ?: return
        if (given < token) return
        if (given > token) changed = true
        token = given
        answeredSentAt = sentAt
        answer["orders"]?.jsonArray?.forEach { order(it.jsonObject) }
    }

    /** POST /do; status and body. */
    fun direct(body: String): Pair<Int, String>? {
        if (!alive) return null
        val json = Json.parseToJsonElement(body).jsonObject
        val given = json.getValue("baton").jsonPrimitive.long
        val right = given >= token && json.getValue("shift").jsonPrimitive.long == incarnation
        if (right) {
            if (given > token) changed = true
            token = given
            json.getValue("orders").jsonArray.forEach { order(it.jsonObject) }
        }
        return (if (right) 200 else 409) to reportBody()
    }

    private fun order(order: JsonObject) {
        val name = order.getValue("piece").jsonPrimitive.content
        val attempt = order.getValue("try").jsonPrimitive.int
        val key = name to attempt
        when (order.getValue("verb").jsonPrimitive.content) {
            "start" ->
                if (key !in tasks) {
                    invariants.recordStartCarriedOut(name.substringBefore('/'))
                    start(Task(name, attempt).also { tasks[key] = it })
                }
            "halt" -> tasks[key]?.let { halt(it, order.getValue("letgo_s").jsonPrimitive.double) }
            "forget" -> if (tasks[key]?.status == "ended") tasks.remove(key)
        }
        changed = true
    }

    private fun start(task: Task) {
        val spec = specOf(task.job)
        val others = tasks.values.filter { it !== task && it.status != "ended" }
        val used = others.sumOf { specOf(it.job)?.cpus ?: 0.0 }
        when {
            spec == null || task.index >= spec.tasks -> refuse(task, "unknown")
            others.any { it.name == task.name } -> refuse(task, "busy")
            used + spec.cpus > CPUS + 1e-6 -> refuse(task, "full")
            else -> clock.after(clock.between(50.milliseconds, 3.seconds)) { run(task, spec) }
        }
    }

    private fun refuse(task: Task, cause: String) {
        task.status = "ended"
        task.cause = cause
    }

    private fun present(task: Task) = alive && tasks[task.name to task.attempt] === task

    private fun run(task: Task, spec: JobSpec) {
        if (!present(task) || task.status != "fetching") return
        if (hanging) return clock.after(1.seconds) { run(task, spec) }
        if (task.name in results || gangs.isDone(task.job)) {
            invariants.startsOfDoneTasks++
            return end(task, "done", false)
        }
        task.status = "running"
        changed = true
        invariants.recordTaskStart(
            clock.now,
            task.job,
            task.index,
            id,
            type,
            zone,
            spot,
            task.attempt,
        )
        if (spec.kind == JobKind.GANG) {
            task.status = "gathering"
            return gangs.addTask(Seat(task).also { task.seat = it }, spec)
        }
        starts++
        invariants.disruptions.recordRunning(clock.now, task.name, spec.team)
        if (sick) return clock.after(1.seconds) { if (present(task)) end(task, "error", false) }
        if (spec.estimateS > 0) {
            clock.after(clock.between(1.seconds, (spec.estimateS * 1.5).seconds)) { finish(task) }
        }
    }

    /** All of its gang have their images. */
    private fun begins(task: Task) {
        task.status = "running"
        changed = true
        starts++
        specOf(task.job)?.let {
            invariants.disruptions.recordRunning(clock.now, task.name, it.team)
        }
        if (sick) clock.after(1.seconds) { if (present(task)) end(task, "error", false) }
    }

    private fun finish(task: Task) {
        if (!present(task) || task.status != "running") return
        if (hanging) return clock.after(1.seconds) { finish(task) }
        results.add(task.name)
        end(task, "done", true)
    }

    private fun causeOfStop() =
        if (recallS == null) DisruptionCause.STOPPED else DisruptionCause.PREEMPTED

    private fun end(task: Task, cause: String, done: Boolean) {
        if (task.status == "ended") return
        leave(task, done)
        if (done) invariants.disruptions.recordDone(task.name)
        else {
            val disruptionCause = if (cause == "stopped") causeOfStop() else DisruptionCause.CRASHED
            invariants.disruptions.recordDisruption(clock.now, task.name, disruptionCause)
        }
        task.status = "ended"
        task.cause = cause
        changed = true
    }

    private fun halt(task: Task, within: Double) {
        val spec = specOf(task.job) ?: return
        val seat = task.seat
        when {
            task.status == "ended" -> return
            seat != null -> gangs.halt(seat, within)
            task.status == "running" && spec.isCheckpointable && within >= spec.saveS -> {
                task.status = "saving"
                invariants.disruptions.recordDisruption(clock.now, task.name, causeOfStop())
                clock.after(spec.saveS.seconds) {
                    task.kept = true
                    if (present(task)) end(task, "stopped", false)
                }
            }
            task.status == "saving" && within > 0 -> return
            else -> end(task, "stopped", false)
        }
        changed = true
    }

    companion object {
        const val CPUS = 16.0

        /** States in which a task is on its machine. */
        private val onMachine = setOf("gathering", "running", "saving")
    }
}
