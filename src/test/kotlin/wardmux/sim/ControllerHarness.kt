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

/** One controller whose key-value store answers at once, for situations set up by hand. */
class ControllerHarness(
    peers: List<String> = emptyList(),
    operators: OperatorSettings = OperatorSettings(),
    platform: PlatformConfig = SETTINGS,
    /** The limits of the key-value store that are to come. */
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

    /** Direct commands, as they were sent to workers. */
    val directCommands = ArrayList<String>()

    /** What becomes of direct commands: as a rule they get no connection. */
    var directCommandOutcome: Outcome = Outcome.NotSent

    /** What a peer answers to the bytes it is sent on a path: as a rule it gets none. */
    var peerResponse: (path: String, body: ByteArray) -> ByteArray? = { _, _ -> null }

    /** Requests to the cloud, which nobody answers. */
    val cloudRequests = ArrayList<String>()

    /** Requests to the key-value store, and whether their answers are held back for now. */
    val storeRequests = ArrayList<String>()
    var holdStoreResponses = false
    private val heldResponses = ArrayList<() -> Unit>()

    fun releaseStoreResponses() {
        holdStoreResponses = false
        val all = heldResponses.toList()
        heldResponses.clear()
        for (reply in all) reply()
    }

    /** The key-value store serves nobody, and no lease ends. */
    fun startStoreOutage() = store.startOutage(null)

    fun endStoreOutage() = store.endOutage(null)

    /** The limits are lower from now on. */
    fun lowerStoreLimits(limits: AnnouncedStoreLimits) = store.lowerLimits(limits)

    /** Requests to the key-value store that get 503. */
    var refusesStoreRequest: (String) -> Boolean = { false }

    init {
        write(MachineTypeList.KEY, MachineTypeList.encode(listOf(MACHINE_TYPE)))
    }

    private fun putOperation(key: String, data: JsonElement) = buildJsonObject {
        put("put", key)
        put("data", data)
    }

    fun write(key: String, data: JsonElement) = commit(putOperation(key, data))

    fun remove(key: String) = commit(JsonObject(mapOf("remove" to JsonPrimitive(key))))

    /** All in one transaction, so that all keys get the same stamp. */
    private fun commit(vararg changes: JsonObject) {
        val body = buildJsonObject { put("then", JsonArray(changes.toList())) }
        store.handle("test", "POST", "/multi", body.toString()) { _, _ -> }
    }

    fun writeAcceptedJob(spec: JobSpec) {
        val record = JobRecord(JobState.ACCEPTED, 0, spec).toJson()
        commit(
            putOperation(JobRecord.key(spec.jobId), record),
            putOperation(JobRecord.openKey(spec.jobId), record),
        )
    }

    fun run(duration: Micros) {
        val until = clock.now + duration
        while (clock.now < until) {
            feed(Input.Tick)
            clock.run(clock.now + 100.milliseconds) {}
        }
    }

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

    val lastRequestId: Long
        get() = requestCount

    fun responseBodyOf(id: Long): ByteArray = responseBodies.getValue(id)

    /** This controller's steady clock. */
    val now: Micros
        get() = clock.now

    /** The status and body of a call that was answered later. */
    fun responseTo(id: Long): Pair<Int, String>? = responses[id]

    /** A lease of somebody else's, with a key bound to it. */
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

    fun storedValue(key: String): JsonElement? = store.value(key)

    private fun feed(input: Input) {
        for (effect in controller.handle(clock.now, clock.now, input)) {
            when (effect) {
                is Effect.Respond -> {
                    responses[effect.id] = effect.status to effect.body.decodeToString()
                    responseBodies[effect.id] = effect.body
                }
                is Effect.SendRequest -> send(effect)
                // No plan comes: the greedy one has to serve.
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

/** A plain array job, for situations set up by hand. */
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

/** A machine of the harness that reports by hand. */
class ManualWorker(
    private val harness: ControllerHarness,
    private val id: String,
    private val zone: String = "a",
) {
    var tick = 0
    var incarnation = 1

    fun sendHeartbeat(
        token: Long,
        tasks: String = "",
        heartbeatTick: Int = ++tick,
    ): Pair<Int, String>? {
        val body =
            """{"box":"$id","endpoint":"10.0.0.9:9","boxkind":"mid","ward":"$zone","loaners":""" +
                """false,"shift":$incarnation,"tick":$heartbeatTick,"baton":$token,"pieces":[$tasks]}"""
        return harness.call("POST", "/hello", body.encodeToByteArray())
    }

    fun heartbeatResponse(token: Long, tasks: String = ""): String {
        val answer = sendHeartbeat(token, tasks)
        check(answer?.first == 200) { "answered $answer" }
        return answer.second
    }

    /** The leader's token, as a first report learns it. */
    fun fetchLeaderToken(): Long =
        Regex("\"baton\":(\\d+)").find(heartbeatResponse(0))!!.groupValues[1].toLong()
}
