package wardmux.sim

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import wardmux.app.Controller
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.CloudLimits
import wardmux.config.DeploymentConfig
import wardmux.config.OperatorSettings
import wardmux.config.PeerConfig
import wardmux.config.PlatformConfig
import wardmux.config.ProcessLimits
import wardmux.config.ServiceAddresses
import wardmux.config.StoreLimits
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.core.Effect
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.records.JobRecord
import wardmux.records.MachineTypeList

/**
 * Runs one controller against a key-value store that responds immediately. Tests set up a situation
 * by hand: they write records, send requests and heartbeats, and read what the controller sent.
 */
class ControllerHarness(
    peers: List<String> = emptyList(),
    operators: OperatorSettings = OperatorSettings(),
    platform: PlatformConfig = SETTINGS,
    /** Lower limits of the key-value store that the settings announce, or null. */
    announcedLimits: AnnouncedStoreLimits? = platform.deployment.state.next,
) {
    private val settings =
        platform.copy(
            peers = peers.map { PeerConfig(it, address = "10.0.0.2:81") },
            deployment =
                platform.deployment.let { it.copy(state = it.state.copy(next = announcedLimits)) },
        )
    private val clock = SimulatedClock(1)
    private val store = FakeKeyValueStore(clock, settings.deployment.state)
    private val controller = Controller(settings, operators, "rig")
    private val responses = HashMap<Long, Pair<Int, String>>()
    private val responseBodies = HashMap<Long, ByteArray>()
    private var requestCount = 0L

    /** The bodies of the direct commands that were sent to workers. */
    val directCommands = ArrayList<String>()

    /** The outcome of every request to a worker; by default no connection is established. */
    var directCommandOutcome: Outcome = Outcome.NotSent

    /**
     * Computes the response body of a peer to a request body on a path. Null, the default, means
     * that no connection to the peer is established.
     */
    var peerResponse: (path: String, body: ByteArray) -> ByteArray? = { _, _ -> null }

    /** The path and body of each request to the cloud, which is never reachable. */
    val cloudRequests = ArrayList<String>()

    /** The method and path of each request to the key-value store that was not refused. */
    val storeRequests = ArrayList<String>()

    /** Whether responses of the key-value store are held until [releaseStoreResponses]. */
    var holdStoreResponses = false
    private val heldResponses = ArrayList<() -> Unit>()

    /** Delivers the held responses of the key-value store and holds no more. */
    fun releaseStoreResponses() {
        holdStoreResponses = false
        val responsesToDeliver = heldResponses.toList()
        heldResponses.clear()
        for (deliver in responsesToDeliver) deliver()
    }

    /** Starts an outage of the key-value store: it refuses all requests, and no lease expires. */
    fun startStoreOutage() = store.startOutage(null)

    /** Ends the outage. All leases start again with their full duration. */
    fun endStoreOutage() = store.endOutage(null)

    /** Lowers the limits that the key-value store enforces. */
    fun lowerStoreLimits(limits: AnnouncedStoreLimits) = store.lowerLimits(limits)

    /** Whether a request to the key-value store on this path gets a 503 response. */
    var refusesStoreRequest: (String) -> Boolean = { false }

    init {
        write(MachineTypeList.KEY, MachineTypeList.encode(listOf(MACHINE_TYPE)))
    }

    private fun putOperation(key: String, data: JsonElement) = buildJsonObject {
        put("put", key)
        put("data", data)
    }

    /** Writes [key] as another client of the key-value store. */
    fun write(key: String, data: JsonElement) = commit(putOperation(key, data))

    /** Removes [key] as another client of the key-value store. */
    fun remove(key: String) = commit(JsonObject(mapOf("remove" to JsonPrimitive(key))))

    /** Commits [changes] in one transaction, so that all their keys get the same revision. */
    private fun commit(vararg changes: JsonObject) {
        val body = buildJsonObject { put("then", JsonArray(changes.toList())) }
        store.handle("test", "POST", "/multi", body.toString()) { _, _ -> }
    }

    /** Writes the records of a job that was accepted and not yet placed. */
    fun writeAcceptedJob(spec: JobSpec) {
        val record = JobRecord(JobState.ACCEPTED, 0, spec).toJson()
        commit(
            putOperation(JobRecord.key(spec.jobId), record),
            putOperation(JobRecord.openKey(spec.jobId), record),
        )
    }

    /** Advances the time by [duration], with a tick of the controller every 100 ms. */
    fun run(duration: Micros) {
        val until = clock.now + duration
        while (clock.now < until) {
            feed(Input.Tick)
            clock.run(clock.now + 100.milliseconds) {}
        }
    }

    /**
     * Sends a request to the controller. Returns the status and body of the response, or null if
     * the controller has not responded yet.
     */
    fun call(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        port: ListenerKind = ListenerKind.API,
    ): Pair<Int, String>? {
        val id = ++requestCount
        feed(Input.Request(id, port, method, path, body))
        return responses[id]
    }

    /** The ID of the most recent request that was sent with [call]. */
    val lastRequestId: Long
        get() = requestCount

    /** The body of the response to the request [id], for binary responses. */
    fun responseBodyOf(id: Long): ByteArray = responseBodies.getValue(id)

    /** The time on the monotonic clock of the controller. */
    val now: Micros
        get() = clock.now

    /** The status and body of the response to the request [id], or null if there is none yet. */
    fun responseTo(id: Long): Pair<Int, String>? = responses[id]

    /** Writes [key] bound to a lease of 600 s that another client holds. */
    fun writeWithOtherLease(key: String, data: JsonElement) {
        store.handle("test", "POST", "/leases", """{"life_ms":600000}""") { _, body ->
            val permit = Regex("\\d+").find(body)!!.value.toLong()
            commit(
                buildJsonObject {
                    put("put", key)
                    put("data", data)
                    put("permit", permit)
                }
            )
        }
    }

    /** The value of [key] in the key-value store, or null if it does not exist. */
    fun storedValue(key: String): JsonElement? = store.value(key)

    private fun feed(input: Input) {
        for (effect in controller.handle(clock.now, clock.now, input)) {
            when (effect) {
                is Effect.Respond -> {
                    responses[effect.id] = effect.status to effect.body.decodeToString()
                    responseBodies[effect.id] = effect.body
                }
                is Effect.SendRequest -> send(effect)
                // The drain plan is never computed, so the controller uses its greedy plan.
                is Effect.Compute -> Unit
            }
        }
    }

    private fun send(effect: Effect.SendRequest) {
        val body = effect.body.decodeToString()
        val reply = { status: Int, text: String ->
            feed(Input.Response(effect.id, Outcome.Response(status, text.encodeToByteArray())))
        }
        when {
            effect.target is Target.Worker -> {
                if (effect.path == "/do") directCommands.add(body)
                feed(Input.Response(effect.id, directCommandOutcome))
            }
            effect.target is Target.Peer -> {
                val answer = peerResponse(effect.path, effect.body)
                val outcome = if (answer == null) Outcome.NotSent else Outcome.Response(200, answer)
                feed(Input.Response(effect.id, outcome))
            }
            effect.target !is Target.KeyValueStore -> {
                if (effect.target is Target.Cloud) cloudRequests.add("${effect.path} $body")
                feed(Input.Response(effect.id, Outcome.NotSent))
            }
            refusesStoreRequest(effect.path) -> reply(503, "{}")
            else -> {
                storeRequests.add("${effect.method} ${effect.path}")
                store.handle("rig", effect.method, effect.path, body) { status, text ->
                    if (holdStoreResponses) heldResponses.add { reply(status, text) }
                    else reply(status, text)
                }
            }
        }
    }

    companion object {
        val MACHINE_TYPE =
            MachineType("mid", 16.0, memoryGb = 64.0, cacheGb = 50.0, zones = listOf("a", "b"))
        val SETTINGS =
            PlatformConfig(
                member = "n0",
                site = "a",
                apiAddress = "10.0.0.1:80",
                peerAddress = "10.0.0.1:81",
                services = ServiceAddresses("10.0.0.1:82", "10.0.0.1:83"),
                deployment =
                    DeploymentConfig(
                        nodes = 1,
                        zones = listOf("a", "b"),
                        teams = listOf(TeamQuota("team-0", 16.0, 64.0)),
                        workers = WorkerTiming(2.5, 16.0, 36.0),
                        state = StoreLimits(900.0, 900.0, 8.0, 8),
                        cloud = CloudLimits(8.0, 3.0),
                        limits = ProcessLimits(fdLimit = 1000),
                    ),
            )
    }
}

/** An array job of team-0 without deadline and checkpoints; its tasks need two CPUs each. */
fun plainJob(tasks: Int, id: String = "job-000001", oneZone: Boolean = false) =
    JobSpec(
        id,
        "c",
        "team-0",
        JobKind.ARRAY,
        PriorityClass.HIGH,
        tasks,
        2.0,
        0.0,
        1.0,
        "img",
        0.5,
        types = null,
        zone = null,
        oneZone = oneZone,
        spread = false,
        spot = true,
        estimateS = 50.0,
        checkpointS = 0.0,
        saveS = 0.0,
    )

/** A machine of [harness] that sends a heartbeat only when the test tells it to. */
class ManualWorker(
    private val harness: ControllerHarness,
    private val id: String,
    private val zone: String = "a",
) {
    var tick = 0
    var incarnation = 1

    /**
     * Sends a heartbeat with [token] and the JSON of [tasks]. Returns the status and body of the
     * response, or null if the controller has not responded yet.
     */
    fun sendHeartbeat(
        token: Long,
        tasks: String = "",
        heartbeatTick: Int = ++tick,
    ): Pair<Int, String>? {
        val body =
            """{"box":"$id","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"$zone","loaners":""" +
                """false,"shift":$incarnation,"tick":$heartbeatTick,"baton":$token,""" +
                """"pieces":[$tasks]}"""
        return harness.call("POST", "/hello", body.encodeToByteArray())
    }

    /** Sends a heartbeat, requires a response with status 200 and returns its body. */
    fun heartbeatResponse(token: Long, tasks: String = ""): String {
        val answer = sendHeartbeat(token, tasks)
        check(answer?.first == 200) { "expected status 200 for the heartbeat of $id, got $answer" }
        return answer.second
    }

    /** Sends a heartbeat without a known token and returns the leader's token in the response. */
    fun fetchLeaderToken(): Long =
        Regex("\"baton\":(\\d+)").find(heartbeatResponse(0))!!.groupValues[1].toLong()
}
