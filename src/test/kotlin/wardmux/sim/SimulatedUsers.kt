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

/** Delivers requests to a controller process, as the users' load balancer does. */
fun interface ControllerCalls {
    /** Sends a request to [member] on [port]. [answer] is never called if the process is down. */
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
 * Users who submit jobs, poll their status and cancel some, as the protocol specifies. Every
 * response they get is checked against [invariants].
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

    /** Jobs whose status is polled. */
    private val polledJobs = HashSet<String>()
    private var lastJob = 0

    /** The number of submissions that were accepted, including repeated ones. */
    var acceptedSubmissions = 0
        private set

    /** The submitted spec of [job], or null if it was never submitted. */
    fun specOf(job: String): JobSpec? = specs[job]

    private fun request(
        method: String,
        path: String,
        body: ByteArray,
        controller: String? = null,
        onResponse: (status: Int?, text: String) -> Unit,
    ) = request(ListenerKind.API, method, path, body, controller, onResponse)

    /**
     * Sends a request to [controller], or to a random one if it is null. [onResponse] gets a null
     * status if no response arrives within 5 s.
     */
    fun request(
        port: ListenerKind,
        method: String,
        path: String,
        body: ByteArray,
        controller: String?,
        onResponse: (status: Int?, text: String) -> Unit,
    ) {
        var completed = false
        clock.after(5.seconds) {
            if (!completed) onResponse(null, "")
            completed = true
        }
        val node = controller ?: nodes[clock.random.nextInt(nodes.size)]
        network.send("user", node) {
            controllers.call(node, port, method, path, body) { status, text ->
                network.send(node, "user") {
                    if (!completed) onResponse(status, text.decodeToString())
                    completed = true
                }
            }
        }
    }

    private fun statusIn(text: String): String? =
        if (text.startsWith("{"))
            Json.parseToJsonElement(text).jsonObject["status"]?.jsonPrimitive?.content
        else null

    /** Checks the answer to a [call] about [job]; [status] is null if there was no answer. */
    private fun recordAnswer(
        job: String,
        call: String,
        status: Int?,
        text: String,
        requestedAt: Micros,
    ) {
        if (status == null) return
        invariants.recordAnswer(clock.now, job, call, status, statusIn(text), requestedAt)
    }

    /** Submits [spec] until it is accepted, for at most 60 s, and then polls its status. */
    fun submit(spec: JobSpec) {
        specs[spec.id] = spec
        invariants.recordSubmission(spec)
        submitUntilAccepted(spec, clock.now + 60.seconds)
    }

    private fun submitUntilAccepted(spec: JobSpec, until: Micros) {
        val body = lenientJson.encodeToString(JobSpec.serializer(), spec).encodeToByteArray()
        val requestedAt = clock.now
        request("POST", "/submissions", body) { status, text ->
            recordAnswer(spec.id, "POST", status, text, requestedAt)
            if (status == 200 || status == 201) {
                acceptedSubmissions++
                // Some users repeat a submission that was already accepted.
                if (clock.chance(0.2))
                    clock.after(clock.randomBetween(1.seconds, 40.seconds)) {
                        submitUntilAccepted(spec, clock.now)
                    }
                polledJobs.add(spec.id)
                poll(spec.id)
            } else if (clock.now < until) {
                clock.after(clock.randomBetween(1.seconds, 2.seconds)) {
                    submitUntilAccepted(spec, until)
                }
            }
        }
    }

    /** Polls the status of [job] every few seconds from now on. */
    fun poll(job: String) {
        val requestedAt = clock.now
        request("GET", "/submissions/$job", ByteArray(0)) { status, text ->
            recordAnswer(job, "GET", status, text, requestedAt)
            invariants.recordPoll(clock.now, job, status == 200)
            clock.after(clock.randomBetween(3.seconds, 6.seconds)) { poll(job) }
        }
    }

    /**
     * Cancels [job] through [controller], or through a random one if it is null, and repeats the
     * request until it is confirmed.
     */
    fun cancel(job: String, controller: String? = null) {
        invariants.recordCancelRequest(job)
        val requestedAt = clock.now
        request("POST", "/submissions/$job/abort", ByteArray(0), controller) { status, text ->
            recordAnswer(job, "abort", status, text, requestedAt)
            if (status != 200) clock.after(1.seconds) { cancel(job, controller) }
            // If no answer has accepted the submission yet, polling starts with this first response
            // about the job.
            else if (polledJobs.add(job)) poll(job)
        }
    }

    // Faults and unusual load that users cause.

    /**
     * Cancels up to [count] running jobs within 0.2 s, those with the longest estimate first. Their
     * machines, at most [MAX_UNRESPONSIVE_MACHINES], are unresponsive for [unresponsiveFor].
     */
    fun cancelRunningJobs(count: Int, unresponsiveFor: Micros) {
        val running =
            invariants.runningJobsNotCancelled().map(specs::getValue).sortedByDescending {
                if (it.estimateS == 0.0) Double.MAX_VALUE else it.estimateS
            }
        val jobsToCancel = running.take(count).map { it.id }
        for (job in jobsToCancel) clock.after(clock.randomBetween(Micros.ZERO, 200.milliseconds)) {
            cancel(job)
        }
        if (unresponsiveFor == Micros.ZERO) return
        for (machine in
            jobsToCancel
                .flatMap(invariants::machinesOf)
                .distinct()
                .take(MAX_UNRESPONSIVE_MACHINES)) {
            val worker = workerOf(machine) ?: continue
            worker.unresponsive = true
            clock.after(unresponsiveFor) { worker.unresponsive = false }
        }
    }

    /** The probability that a job is cancelled around the time when its last task ends. */
    var cancelAtEndProbability = 0.0

    /** Called when the last task of [job] has ended. */
    fun onJobEnded(job: String) {
        if (cancelAtEndProbability > 0 && clock.chance(cancelAtEndProbability)) {
            // The cancellation arrives before the end is reported, after it is recorded, or in
            // between.
            clock.after(clock.randomBetween(Micros.ZERO, 1_200.milliseconds)) { cancel(job) }
        }
    }

    /**
     * Sends one request that users rarely make: a repeated submission of an open or ended job, a
     * cancellation of a completed job, or an invalid submission. The response is checked.
     */
    fun sendUnusualRequest() {
        when (clock.random.nextInt(5)) {
            0 -> invariants.openJobs().randomOrNull(clock.random)?.let(::resubmit)
            1 -> invariants.finishedJobs().randomOrNull(clock.random)?.let(::resubmit)
            2 ->
                invariants
                    .finishedJobs()
                    .filter { invariants.finalStateOf(it) == "done" }
                    .randomOrNull(clock.random)
                    ?.let { cancelCompletedJob(it) }
            3 -> submitInvalid(422, encode(unsatisfiableJob()))
            else -> submitInvalid(400, submissionLackingField())
        }
    }

    private fun encode(spec: JobSpec) =
        lenientJson.encodeToJsonElement(JobSpec.serializer(), spec).jsonObject

    private fun resubmit(job: String) {
        val requestedAt = clock.now
        val body = encode(specs.getValue(job)).toString().encodeToByteArray()
        request("POST", "/submissions", body) { status, text ->
            if (status != null)
                invariants.recordRepeatedSubmission(
                    clock.now,
                    job,
                    status,
                    statusIn(text),
                    requestedAt,
                )
        }
    }

    private fun cancelCompletedJob(job: String) {
        val requestedAt = clock.now
        request("POST", "/submissions/$job/abort", ByteArray(0)) { status, text ->
            recordAnswer(job, "abort", status, text, requestedAt)
        }
    }

    private fun randomArrayJob() = randomJob().copy(kind = JobKind.ARRAY, zone = null)

    private fun unsatisfiableJob(): JobSpec =
        when (clock.random.nextInt(6)) {
            0 -> randomArrayJob().copy(cpus = FakeWorker.CPUS + 1)
            1 -> randomArrayJob().copy(team = "team-9")
            2 -> randomArrayJob().copy(types = listOf("none"))
            3 -> randomArrayJob().copy(gpus = 1.0)
            4 -> randomArrayJob().copy(zone = "z")
            // All replicas together need more CPUs than the team's limit.
            else ->
                randomArrayJob()
                    .copy(kind = JobKind.SERVICE, tasks = 6, cpus = 8.0, estimateS = 0.0)
        }

    private fun submissionLackingField(): JsonObject {
        val allFields = encode(randomArrayJob())
        val requiredFields = allFields.keys - setOf("name_id", "boxkinds", "ward", "due_s")
        return JsonObject(allFields - requiredFields.random(clock.random))
    }

    private fun submitInvalid(expected: Int, body: JsonObject) {
        val job = body.getValue("name_id").jsonPrimitive.content
        request("POST", "/submissions", body.toString().encodeToByteArray()) { status, _ ->
            if (status != null)
                invariants.recordInvalidJobAnswer(job, expected, status, body.toString())
            // The rejected job must stay unknown.
            request("GET", "/submissions/$job", ByteArray(0)) { laterStatus, text ->
                if (laterStatus != null)
                    invariants.recordAnswer(clock.now, job, "GET", laterStatus, statusIn(text))
            }
        }
    }

    /** A random valid job with the next unused ID. */
    fun randomJob(): JobSpec {
        val random = clock.random
        val urgent = random.nextBoolean()
        val kindDraw = random.nextDouble()
        val kind =
            if (kindDraw < 0.1) JobKind.SERVICE
            else if (kindDraw < 0.15) JobKind.GANG else JobKind.ARRAY
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
        // A service or gang that is bound to one zone and must spread its tasks over zones could
        // never run.
        val unplaceable = kind != JobKind.ARRAY && job.zone != null
        return if (unplaceable) job.copy(spread = false) else job
    }

    private companion object {
        const val MAX_UNRESPONSIVE_MACHINES = 8
    }
}
