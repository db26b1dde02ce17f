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

/**
 * Sends the heartbeat `body` to the controller `node`. `answer` gets the status and body of the
 * response and is never called if there is none.
 */
typealias HeartbeatSender = (node: String, body: String, answer: (Int, String) -> Unit) -> Unit

/**
 * A fake of a worker on its machine, written from the protocol. It sends heartbeats, executes
 * commands and reports what it does to [invariants].
 */
class FakeWorker(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    private val clock: SimulatedClock,
    private val timing: WorkerTiming,
    private val nodes: List<String>,
    private val invariants: Invariants,
    private val specOf: (String) -> JobSpec?,
    private val gangs: FakeGangs = FakeGangs(clock, invariants),
    /** The address at which the worker accepts direct commands. */
    private val endpoint: String = "$id:9000",
    private val send: HeartbeatSender,
) {
    private class Task(val name: String, val attempt: Int) {
        var status = "fetching"
        var cause: String? = null
        var kept = false
        val job = name.substringBefore('/')
        val index = name.substringAfter('/').toInt()

        /** This task as its gang sees it. Null outside gangs and until the image is fetched. */
        var gangTask: GangTask? = null
    }

    private inner class GangMember(private val task: Task) : GangTask {
        override val job = task.job
        override val index = task.index
        override val attempt = task.attempt
        override val isUnresponsive
            get() = this@FakeWorker.unresponsive

        override fun startRunning() = beginGangTask(task)

        override fun exit(cause: String, progressSaved: Boolean) {
            task.kept = progressSaved
            endTask(task, cause, done = cause == "done")
        }
    }

    private val tasks = LinkedHashMap<Pair<String, Int>, Task>()
    private val storedResults = HashSet<String>()

    /** The number of tasks on this machine that have not ended. */
    val activeTasks: Int
        get() = tasks.values.count { it.status != "ended" }

    /** The status of each task of [job] on this machine that has not ended, by task index. */
    fun taskStatusesOf(job: String): Map<Int, String> =
        tasks.values
            .filter { it.job == job && it.status != "ended" }
            .associate { it.index to it.status }

    /** The number of tasks that began to run on this machine. */
    var startedTasks = 0
        private set

    private var incarnation = 1L

    /** The number of sessions this worker has had, including the current one. */
    val sessions: Long
        get() = incarnation

    /** Whether this worker's token is [leaderToken]. */
    fun hasToken(leaderToken: Long?): Boolean = token == leaderToken

    private var tick = 0L
    private var token = 0L
    private var lastAnsweredHeartbeatAt = clock.now
    private var node = clock.random.nextInt(nodes.size)
    private var awaitingResponse = false
    private var nextHeartbeatAt = clock.now
    private var lastHeartbeatAt = Micros.LONG_AGO
    private var hasUnreportedChange = true
    var alive = true
        private set

    /** Whether the machine executes nothing for now. It may respond again at any time. */
    var unresponsive = false

    /** Whether every task that starts on this machine fails. */
    var failsEveryTask = false

    /**
     * Whether each heartbeat goes to another controller, as if the connection were closed after
     * each response.
     */
    var rotatesControllers = false

    /**
     * The time in seconds after which the cloud reclaims this spot machine, as the worker reports
     * it, or null if no reclaim is announced.
     */
    var recallS: Double? = null
        set(value) {
            field = value
            hasUnreportedChange = true
        }

    init {
        clock.every(100.milliseconds) { if (alive && !unresponsive) step() }
    }

    /** The free CPUs and the tasks of this machine, including tasks that fetch their image. */
    fun view(): MachineView {
        val heldTasks = tasks.values.filter { it.status != "ended" }
        return MachineView(
            id,
            type,
            zone,
            spot,
            CPUS - heldTasks.sumOf { specOf(it.job)?.cpus ?: 0.0 },
            heldTasks.map { it.job to it.index },
        )
    }

    /** Crashes the machine and loses all tasks on it. */
    fun crash() {
        alive = false
        for (task in tasks.values) loseTask(task)
        tasks.clear()
    }

    /** Records that [task] was lost because its machine crashed or its session ended. */
    private fun loseTask(task: Task) {
        removeFromMachine(task, done = false)
        if (task.status != "ended")
            invariants.disruptions.recordDisruption(clock.now, task.name, DisruptionCause.CRASHED)
    }

    /** Records that [task] is no longer on this machine, and whether it was [done]. */
    private fun removeFromMachine(task: Task, done: Boolean) {
        if (task.status in statusesOnMachine)
            invariants.recordTaskEnd(task.job, task.index, id, done)
        task.gangTask?.let(gangs::removeTask)
    }

    /** Starts a new session if the lease has expired, and sends a heartbeat if one is due. */
    private fun step() {
        if (clock.now - lastAnsweredHeartbeatAt > timing.leaseS.seconds) {
            for (task in tasks.values) loseTask(task)
            tasks.clear()
            incarnation++
            tick = 0
            lastAnsweredHeartbeatAt = clock.now
            hasUnreportedChange = true
        }
        val due =
            clock.now >= nextHeartbeatAt ||
                (hasUnreportedChange && clock.now - lastHeartbeatAt >= 500.milliseconds)
        if (!awaitingResponse && due) sendHeartbeat()
    }

    /** The body of a heartbeat with the next tick number. */
    fun heartbeatBody() =
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

    /** Closes the current connection and sends the next heartbeat to [controller] immediately. */
    fun reconnectTo(controller: String) {
        heartbeatNumber++
        awaitingResponse = false
        node = nodes.indexOf(controller)
        nextHeartbeatAt = clock.now
    }

    /** The number of the most recent heartbeat. A response to an earlier heartbeat is ignored. */
    private var heartbeatNumber = 0

    private fun sendHeartbeat() {
        awaitingResponse = true
        val number = ++heartbeatNumber
        hasUnreportedChange = false
        val sentAt = clock.now
        lastHeartbeatAt = sentAt
        val sentInSession = incarnation
        nextHeartbeatAt =
            sentAt +
                clock.randomBetween(
                    (timing.heartbeatPeriodS * 0.75).seconds,
                    (timing.heartbeatPeriodS * 1.25).seconds,
                )
        var completed = false
        fun finishExchange(tryNextController: Boolean) {
            completed = true
            awaitingResponse = false
            if (tryNextController) {
                node = (node + 1) % nodes.size
                nextHeartbeatAt = clock.now + 1.seconds
            }
        }
        clock.after(4.seconds) {
            if (!completed && number == heartbeatNumber) finishExchange(tryNextController = true)
        }
        send(nodes[node], heartbeatBody()) { status, body ->
            // The exchange is dropped after 4 s. Commands in a response that arrives later are not
            // executed.
            if (completed || number != heartbeatNumber || !alive || unresponsive) return@send
            when (status) {
                200 -> {
                    finishExchange(tryNextController = false)
                    if (rotatesControllers) node = (node + 1) % nodes.size
                    if (sentInSession == incarnation)
                        applyResponse(Json.parseToJsonElement(body).jsonObject, sentAt)
                }
                421 -> {
                    val redirectTarget =
                        if (body.isEmpty()) null
                        else
                            Json.parseToJsonElement(body)
                                .jsonObject["steward"]
                                ?.jsonPrimitive
                                ?.content
                    val index = nodes.indexOf(redirectTarget)
                    finishExchange(tryNextController = index < 0 || index == node)
                    if (index >= 0 && index != node) {
                        node = index
                        nextHeartbeatAt =
                            clock.now + clock.randomBetween(Micros.ZERO, 500.milliseconds)
                    }
                }
                else -> finishExchange(tryNextController = true)
            }
        }
    }

    /** Takes the token, renews the lease as of [sentAt] and executes the commands of a response. */
    private fun applyResponse(answer: JsonObject, sentAt: Micros) {
        val receivedToken = answer["baton"]?.jsonPrimitive?.long ?: return
        if (receivedToken < token) return
        if (receivedToken > token) hasUnreportedChange = true
        token = receivedToken
        lastAnsweredHeartbeatAt = sentAt
        answer["orders"]?.jsonArray?.forEach { executeCommand(it.jsonObject) }
    }

    /**
     * Handles the direct command in [body] (POST /do). Returns the status and body of the response,
     * or null if the machine has crashed.
     */
    fun executeDirect(body: String): Pair<Int, String>? {
        if (!alive) return null
        val json = Json.parseToJsonElement(body).jsonObject
        val receivedToken = json.getValue("baton").jsonPrimitive.long
        val accepted =
            receivedToken >= token && json.getValue("shift").jsonPrimitive.long == incarnation
        if (accepted) {
            if (receivedToken > token) hasUnreportedChange = true
            token = receivedToken
            json.getValue("orders").jsonArray.forEach { executeCommand(it.jsonObject) }
        }
        return (if (accepted) 200 else 409) to heartbeatBody()
    }

    private fun executeCommand(command: JsonObject) {
        val name = command.getValue("piece").jsonPrimitive.content
        val attempt = command.getValue("try").jsonPrimitive.int
        val key = name to attempt
        when (command.getValue("verb").jsonPrimitive.content) {
            "start" ->
                if (key !in tasks) {
                    invariants.recordStartCarriedOut(name.substringBefore('/'))
                    startTask(Task(name, attempt).also { tasks[key] = it })
                }
            "halt" ->
                tasks[key]?.let { haltTask(it, command.getValue("letgo_s").jsonPrimitive.double) }
            "forget" -> if (tasks[key]?.status == "ended") tasks.remove(key)
        }
        hasUnreportedChange = true
    }

    /**
     * Fetches the image of [task] and then runs it. A task that cannot run here ends immediately.
     */
    private fun startTask(task: Task) {
        val spec = specOf(task.job)
        val otherTasks = tasks.values.filter { it !== task && it.status != "ended" }
        val usedCpus = otherTasks.sumOf { specOf(it.job)?.cpus ?: 0.0 }
        when {
            spec == null || task.index >= spec.tasks -> rejectTask(task, "unknown")
            otherTasks.any { it.name == task.name } -> rejectTask(task, "busy")
            usedCpus + spec.cpus > CPUS + 1e-6 -> rejectTask(task, "full")
            else ->
                clock.after(clock.randomBetween(50.milliseconds, 3.seconds)) { runTask(task, spec) }
        }
    }

    private fun rejectTask(task: Task, cause: String) {
        task.status = "ended"
        task.cause = cause
    }

    /** Whether this machine is up and still has this attempt of the task. */
    private fun isPresent(task: Task) = alive && tasks[task.name to task.attempt] === task

    private fun runTask(task: Task, spec: JobSpec) {
        if (!isPresent(task) || task.status != "fetching") return
        if (unresponsive) return clock.after(1.seconds) { runTask(task, spec) }
        if (task.name in storedResults || gangs.isDone(task.job)) {
            invariants.startsOfDoneTasks++
            return endTask(task, "done", false)
        }
        task.status = "running"
        hasUnreportedChange = true
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
            return gangs.addTask(GangMember(task).also { task.gangTask = it }, spec)
        }
        startedTasks++
        invariants.disruptions.recordRunning(clock.now, task.name, spec.team)
        if (failsEveryTask)
            return clock.after(1.seconds) { if (isPresent(task)) endTask(task, "error", false) }
        if (spec.estimateS > 0) {
            clock.after(clock.randomBetween(1.seconds, (spec.estimateS * 1.5).seconds)) {
                finishTask(task)
            }
        }
    }

    /** Runs [task], now that all tasks of its gang have their images. */
    private fun beginGangTask(task: Task) {
        task.status = "running"
        hasUnreportedChange = true
        startedTasks++
        specOf(task.job)?.let {
            invariants.disruptions.recordRunning(clock.now, task.name, it.team)
        }
        if (failsEveryTask)
            clock.after(1.seconds) { if (isPresent(task)) endTask(task, "error", false) }
    }

    /** Fails all running tasks of [job]. */
    fun failRunningTasks(job: String) {
        for (task in tasks.values.filter { it.job == job && it.status == "running" }) {
            endTask(task, "error", false)
        }
    }

    private fun finishTask(task: Task) {
        if (!isPresent(task) || task.status != "running") return
        if (unresponsive) return clock.after(1.seconds) { finishTask(task) }
        storedResults.add(task.name)
        endTask(task, "done", true)
    }

    private fun stopCause() =
        if (recallS == null) DisruptionCause.STOPPED else DisruptionCause.PREEMPTED

    private fun endTask(task: Task, cause: String, done: Boolean) {
        if (task.status == "ended") return
        removeFromMachine(task, done)
        if (done) invariants.disruptions.recordDone(task.name)
        else {
            val disruptionCause = if (cause == "stopped") stopCause() else DisruptionCause.CRASHED
            invariants.disruptions.recordDisruption(clock.now, task.name, disruptionCause)
        }
        task.status = "ended"
        task.cause = cause
        hasUnreportedChange = true
    }

    /**
     * Stops [task]. A running task of a job with checkpoints saves one first if [withinS] seconds
     * suffice for that.
     */
    private fun haltTask(task: Task, withinS: Double) {
        val spec = specOf(task.job) ?: return
        val gangTask = task.gangTask
        when {
            task.status == "ended" -> return
            gangTask != null -> gangs.halt(gangTask, withinS)
            task.status == "running" && spec.isCheckpointable && withinS >= spec.saveS -> {
                task.status = "saving"
                invariants.disruptions.recordDisruption(clock.now, task.name, stopCause())
                clock.after(spec.saveS.seconds) {
                    task.kept = true
                    if (isPresent(task)) endTask(task, "stopped", false)
                }
            }
            task.status == "saving" && withinS > 0 -> return
            else -> endTask(task, "stopped", false)
        }
        hasUnreportedChange = true
    }

    companion object {
        const val CPUS = 16.0

        /** Statuses in which a task counts as present on its machine. */
        private val statusesOnMachine = setOf("gathering", "running", "saving")
    }
}
