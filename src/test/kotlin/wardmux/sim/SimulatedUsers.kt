package wardmux.sim

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.config.TeamQuota
import wardmux.core.ListenerKind
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.serialization.lenientJson

/** Reaches a controller process, as the users' load balancer does. */
fun interface ControllerCalls {
    /** Calls [member] on [port]; [answer] is never called if it is down. */
    fun call(
        member: String,
        port: ListenerKind,
        method: String,
        path: String,
        body: ByteArray,
        answer: (Int, ByteArray) -> Unit,
    )
}

/**
 * Users who submit jobs, ask for their status and cancel some, as PROTOCOL says; what they are told
 * is held against [invariants].
 */
class SimulatedUsers(
    private val clock: SimulatedClock,
    private val network: Network,
    private val nodes: List<String>,
    private val teams: List<TeamQuota>,
    private val invariants: Invariants,
    private val controllers: ControllerCalls,
    private val workerOf: (machine: String) -> FakeWorker?,
) {
    private val specs = HashMap<String, JobSpec>()

    /** Jobs that their users have begun to ask about. */
    private val asked = HashSet<String>()
    private var lastJob = 0

    /** Submissions that were accepted, repeated ones among them. */
    var accepted = 0
        private set

    /** What was submitted as [job], or null. */
    fun specOf(job: String): JobSpec? = specs[job]

    private fun ask(
        method: String,
        path: String,
        body: ByteArray,
        by: String? = null,
        then: (status: Int?, text: String) -> Unit,
    ) = ask(ListenerKind.API, method, path, body, by, then)

    /** Asks the controller [by], or any; [then] gets no status if it never answers. */
    fun ask(
        port: ListenerKind,
        method: String,
        path: String,
        body: ByteArray,
        by: String?,
        then: (status: Int?, text: String) -> Unit,
    ) {
        var over = false
        clock.after(5.seconds) {
            if (!over) then(null, "")
            over = true
        }
        val node = by ?: nodes[clock.random.nextInt(nodes.size)]
        network.send("user", node) {
            controllers.call(node, port, method, path, body) { status, text ->
                network.send(node, "user") {
                    if (!over) then(status, text.decodeToString())
                    over = true
                }
            }
        }
    }

    private fun stateIn(text: String): String? =
        if (text.startsWith("{"))
            Json.parseToJsonElement(text).jsonObject["status"]?.jsonPrimitive?.content
        else null

    /** Submits [spec], and again until it is accepted; then asks for its status now and again. */
    fun submit(spec: JobSpec) {
        specs[spec.id] = spec
        invariants.recordSubmission(spec)
        submitAgain(spec, clock.now + 60.seconds)
    }

    private fun submitAgain(spec: JobSpec, until: Micros) {
        val body = lenientJson.encodeToString(JobSpec.serializer(), spec).encodeToByteArray()
        val askedAt = clock.now
        ask("POST", "/submissions", body) { status, text ->
            if (status != null)
                invariants.recordAnswer(clock.now, spec.id, "POST", status, stateIn(text), askedAt)
            if (status == 200 || status == 201) {
                accepted++
                // Some repeat a request that was carried out.
                if (clock.chance(0.2))
                    clock.after(clock.between(1.seconds, 40.seconds)) {
                        submitAgain(spec, clock.now)
                    }
                asked.add(spec.id)
                poll(spec.id)
            } else if (clock.now < until) {
                clock.after(clock.between(1.seconds, 2.seconds)) { submitAgain(spec, until) }
            }
        }
    }

    /** Asks for the status of [job] every few seconds from now. */
    fun poll(job: String) {
        val askedAt = clock.now
        ask("GET", "/submissions/$job", ByteArray(0)) { status, text ->
            if (status != null)
                invariants.recordAnswer(clock.now, job, "GET", status, stateIn(text), askedAt)
            invariants.recordPoll(clock.now, job, status == 200)
            clock.after(clock.between(3.seconds, 6.seconds)) { poll(job) }
        }
    }

    /** Cancels [job] through the controller [by], or any, and again until it is confirmed. */
    fun cancel(job: String, by: String? = null) {
        invariants.recordCancelRequest(job)
        val askedAt = clock.now
        ask("POST", "/submissions/$job/abort", ByteArray(0), by) { status, text ->
            if (status != null)
                invariants.recordAnswer(clock.now, job, "abort", status, stateIn(text), askedAt)
            if (status != 200) clock.after(1.seconds) { cancel(job, by) }
            // Its submission was never answered, so this is the first that its user hears of it.
            else if (asked.add(job)) poll(job)
        }
    }

    // Troubles that users make.

    /**
     * Up to [count] jobs that run and have long to go are called off within a fifth of a second.
     */
    fun cancelNow(count: Int, hang: Micros) {
        val running =
            invariants.runningJobsNotCancelled().map(specs::getValue).sortedByDescending {
                if (it.estimateS == 0.0) Double.MAX_VALUE else it.estimateS
            }
        val chosen = running.take(count).map { it.id }
        for (job in chosen) clock.after(clock.between(Micros.ZERO, 200.milliseconds)) {
            cancel(job)
        }
        if (hang == Micros.ZERO) return
        for (machine in chosen.flatMap(invariants::machinesOf).distinct().take(MOST_HANGING)) {
            val worker = workerOf(machine) ?: continue
            worker.hanging = true
            clock.after(hang) { worker.hanging = false }
        }
    }

    /** Part of the jobs whose last task ends that are called off at that moment. */
    var cancelAtEnd = 0.0

    /** The last task of [job] has ended. */
    fun jobEnded(job: String) {
        if (cancelAtEnd > 0 && clock.chance(cancelAtEnd)) {
            // From before the report of the end to after the record of it.
            clock.after(clock.between(Micros.ZERO, 1_200.milliseconds)) { cancel(job) }
        }
    }

    /** One of the requests that users seldom make; the answers to all of them are checked. */
    fun oddRequest() {
        when (clock.random.nextInt(5)) {
            0 -> invariants.openJobs().randomOrNull(clock.random)?.let(::repeat)
            1 -> invariants.finishedJobs().randomOrNull(clock.random)?.let(::repeat)
            2 ->
                invariants
                    .finishedJobs()
                    .filter { invariants.finalStateOf(it) == "done" }
                    .randomOrNull(clock.random)
                    ?.let { cancelDone(it) }
            3 -> submitBad(422, encode(unfit()))
            else -> submitBad(400, lacking())
        }
    }

    private fun encode(spec: JobSpec) =
        lenientJson.encodeToJsonElement(JobSpec.serializer(), spec).jsonObject

    private fun repeat(job: String) {
        val askedAt = clock.now
        val body = encode(specs.getValue(job)).toString().encodeToByteArray()
        ask("POST", "/submissions", body) { status, text ->
            if (status != null)
                invariants.recordRepeatedSubmission(clock.now, job, status, stateIn(text), askedAt)
        }
    }

    private fun cancelDone(job: String) {
        val askedAt = clock.now
        ask("POST", "/submissions/$job/abort", ByteArray(0)) { status, text ->
            if (status != null)
                invariants.recordAnswer(clock.now, job, "abort", status, stateIn(text), askedAt)
        }
    }

    private fun plain() = randomJob().copy(kind = JobKind.ARRAY, zone = null)

    private fun unfit(): JobSpec =
        when (clock.random.nextInt(6)) {
            0 -> plain().copy(cpus = FakeWorker.CPUS + 1)
            1 -> plain().copy(team = "team-9")
            2 -> plain().copy(types = listOf("none"))
            3 -> plain().copy(gpus = 1.0)
            4 -> plain().copy(zone = "z")
            // More than the team's limit, all tasks together.
            else -> plain().copy(kind = JobKind.SERVICE, tasks = 6, cpus = 8.0, estimateS = 0.0)
        }

    private fun lacking(): JsonObject {
        val full = encode(plain())
        val needed = full.keys - setOf("name_id", "boxkinds", "ward", "due_s")
        return JsonObject(full - needed.random(clock.random))
    }

    private fun submitBad(expected: Int, body: JsonObject) {
        val job = body.getValue("name_id").jsonPrimitive.content
        ask("POST", "/submissions", body.toString().encodeToByteArray()) { status, _ ->
            if (status != null)
                invariants.recordInvalidJobAnswer(job, expected, status, body.toString())
            // Nor is it known afterwards.
            ask("GET", "/submissions/$job", ByteArray(0)) { later, text ->
                if (later != null)
                    invariants.recordAnswer(clock.now, job, "GET", later, stateIn(text))
            }
        }
    }

    /** A job as any user might submit it. */
    fun randomJob(): JobSpec {
        val random = clock.random
        val urgent = random.nextBoolean()
        val draw = random.nextDouble()
        val kind =
            if (draw < 0.1) JobKind.SERVICE else if (draw < 0.15) JobKind.GANG else JobKind.ARRAY
        val tasks = if (kind != JobKind.ARRAY) 2 else 1 + random.nextInt(if (urgent) 90 else 12)
        val job =
            JobSpec(
                id = "job-%06d".format(++lastJob),
                jobClass = if (urgent) "quick" else "long",
                team = teams[random.nextInt(teams.size)].name,
                kind = kind,
                priority = if (urgent) PriorityClass.HIGH else PriorityClass.NORMAL,
                tasks = tasks,
                cpus = if (urgent) 2.0 else 8.0,
                gpus = 0.0,
                memoryGb = 4.0,
                image = "img-${random.nextInt(3)}",
                imageGb = 0.5,
                types = null,
                zone = if (clock.chance(0.1)) "b" else null,
                oneZone = kind == JobKind.ARRAY && clock.chance(0.1),
                spread = clock.chance(0.1),
                spot = clock.chance(0.8),
                estimateS = if (kind == JobKind.SERVICE) 0.0 else if (urgent) 4.0 else 15.0,
                checkpointS = if (urgent) 0.0 else 5.0,
                saveS = if (urgent) 0.0 else 2.0,
                deadlineS = 60.0,
            )
        // Tasks that need each other and may not all be in the one zone can never run.
        val never = kind != JobKind.ARRAY && job.zone != null
        return if (never) job.copy(spread = false) else job
    }

    private companion object {
        const val MOST_HANGING = 8
    }
}
