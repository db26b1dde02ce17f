package wardmux.sim

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import wardmux.Effect
import wardmux.Input
import wardmux.Micros
import wardmux.Outcome
import wardmux.Port
import wardmux.Target
import wardmux.app.CloudFacts
import wardmux.app.Controller
import wardmux.app.Facts
import wardmux.app.LimitFacts
import wardmux.app.OperatorSettings
import wardmux.app.PlatformSettings
import wardmux.app.ServiceSettings
import wardmux.app.StateFacts
import wardmux.app.TeamFacts
import wardmux.app.WorkerFacts
import wardmux.cloud.MachineType
import wardmux.intake.JobRecord
import wardmux.intake.JobSpec
import wardmux.intake.JobState
import wardmux.millis

/** One controller whose state service answers at once, for situations set up by hand. */
class Rig(settings: PlatformSettings = SETTINGS) {
    private val clock = Clockwork(1)
    private val state = StateStandIn(clock, settings.facts.state)
    private val core = Controller(settings, OperatorSettings(), "rig")
    private val answers = HashMap<Long, Pair<Int, String>>()
    private var calls = 0L

    /** Direct orders, as they were sent to workers; they get no connection. */
    val direct = ArrayList<String>()

    /** Requests to the state service that get 503. */
    var refuse: (String) -> Boolean = { false }

    init {
        write(MachineType.KEY, MachineType.toJson(listOf(TYPE)))
    }

    private fun putting(key: String, data: JsonElement) = buildJsonObject {
        put("put", key)
        put("data", data)
    }

    fun write(key: String, data: JsonElement) = change(putting(key, data))

    fun remove(key: String) = change(JsonObject(mapOf("remove" to JsonPrimitive(key))))

    /** All in one transaction, so that all keys get the same stamp. */
    private fun change(vararg changes: JsonObject) {
        val body = buildJsonObject { put("then", JsonArray(changes.toList())) }
        state.handle("test", "POST", "/multi", body.toString()) { _, _ -> }
    }

    fun accept(spec: JobSpec) {
        val record = JobRecord(JobState.ACCEPTED, 0, spec).toJson()
        change(
            putting(JobRecord.key(spec.jobId), record),
            putting(JobRecord.openKey(spec.jobId), record),
        )
    }

    fun run(length: Micros) {
        val until = clock.now + length
        while (clock.now < until) {
            feed(Input.Tick)
            clock.run(clock.now + 100.millis) {}
        }
    }

    fun call(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        port: Port = Port.API,
    ): Pair<Int, String>? {
        val id = ++calls
        feed(Input.Call(id, port, method, path, body))
        return answers[id]
    }

    private fun feed(input: Input) {
        for (effect in core.handle(clock.now, clock.now, input)) {
            when (effect) {
                is Effect.Answer ->
                    answers[effect.id] = effect.status to effect.body.decodeToString()
                is Effect.Send -> send(effect)
            }
        }
    }

    private fun send(effect: Effect.Send) {
        val body = effect.body.decodeToString()
        val reply = { status: Int, text: String ->
            feed(Input.Reply(effect.id, Outcome.Response(status, text.encodeToByteArray())))
        }
        when {
            effect.target is Target.Worker -> {
                direct.add(body)
                feed(Input.Reply(effect.id, Outcome.Unsent))
            }
            effect.target !is Target.State -> feed(Input.Reply(effect.id, Outcome.Unsent))
            refuse(effect.path) -> reply(503, "{}")
            else -> state.handle("rig", effect.method, effect.path, body, reply)
        }
    }

    companion object {
        val TYPE =
            MachineType("mid", 16.0, memoryGb = 64.0, cacheGb = 50.0, zones = listOf("a", "b"))
        val SETTINGS =
            PlatformSettings(
                member = "n0",
                site = "a",
                apiAddress = "10.0.0.1:80",
                peerAddress = "10.0.0.1:81",
                services = ServiceSettings("10.0.0.1:82", "10.0.0.1:83"),
                facts =
                    Facts(
                        nodes = 1,
                        zones = listOf("a", "b"),
                        teams = listOf(TeamFacts("team-0", 16.0, 64.0)),
                        workers = WorkerFacts(2.5, 16.0, 36.0),
                        state = StateFacts(900.0, 900.0, 8.0, 8),
                        cloud = CloudFacts(8.0, 3.0),
                        limits = LimitFacts(fdLimit = 1000),
                    ),
            )
    }
}
