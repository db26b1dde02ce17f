package wardmux.app

import java.net.URLDecoder
import wardmux.Desk
import wardmux.Effect
import wardmux.Input
import wardmux.JobId
import wardmux.Micros
import wardmux.Port
import wardmux.Token
import wardmux.cloud.CloudClient
import wardmux.cloud.TypeBook
import wardmux.fleet.Redirect
import wardmux.fleet.ReportReader
import wardmux.intake.Intake
import wardmux.intake.SubmissionReader
import wardmux.lead.Leadership
import wardmux.lead.Role
import wardmux.lead.Term
import wardmux.logger
import wardmux.peers.BeatCodec
import wardmux.peers.Cancellations
import wardmux.peers.Peers
import wardmux.relay.Detour
import wardmux.relay.Relay
import wardmux.relay.RelayCodec
import wardmux.secs
import wardmux.store.StateStore

/**
 * One controller as a state machine: takes inputs with their time, returns what to send and answer.
 */
class Controller(
    private val platform: PlatformSettings,
    private val operators: OperatorSettings,
    /** Tells this process from every other, a former one of the same member above all. */
    boot: String,
) {
    private val log = logger<Controller>()
    private val desk = Desk()
    private val store = StateStore(desk, platform.facts.state, platform.facts.nodes)
    private val cloud = CloudClient(desk, platform.facts.cloud.rps)
    private val types = TypeBook(desk, store, cloud)
    private val siblings = platform.siblings.map { it.member }
    private val cancellations =
        Cancellations(
            desk,
            store,
            boot,
            siblings,
            Cancellations.horizon(platform.facts.workers.cancelS.secs),
        ) {
            term?.cancelled(it)
        }
    private val peers = Peers(desk, platform.member, siblings, cancellations)
    private val reader = ReportReader()
    private val intake =
        Intake(desk, store, types, platform.facts.teams, cancellations::confirmed, ::progressOf)
    private var term: Term? = null
    private val leadership =
        Leadership(
            desk,
            store,
            platform.member,
            boot = boot,
            life = operators.leaderLeaseS.secs,
            listener =
                object : Leadership.Listener {
                    override fun elected(role: Role.Leader) = begin(role)

                    override fun deposed() = end()
                },
        )

    private val relay =
        Relay(
            desk,
            leadership,
            platform.member,
            boot,
            platform.facts.workers,
            Detour(desk, store, platform.member),
            platform.siblings.size,
            peers::wantsRelays,
            ::sendToLeader,
        )

    private fun begin(role: Role.Leader) {
        term =
            Term(
                desk,
                store,
                leadership,
                role,
                types,
                cloud,
                platform,
                operators,
                reader,
                intake::learnFinal,
                cancellations,
                peers::hearsOthers,
            )
    }

    private fun end() {
        term?.end()
        term = null
    }

    private fun progressOf(id: JobId) = term?.progressOf(id) ?: peers.progressOf(id.value)

    fun handle(now: Micros, wall: Micros, input: Input): List<Effect> {
        desk.at(now, wall)
        when (input) {
            is Input.Tick -> tick()
            is Input.Call -> call(input)
            is Input.Reply -> desk.settle(input)
        }
        store.pump()
        return desk.take()
    }

    /** What an input that went wrong half-way has given so far. */
    fun abandon(): List<Effect> = desk.take()

    private fun tick() {
        leadership.tick()
        cancellations.tick()
        intake.tick()
        types.tick(leading = term != null)
        term?.tick()
        relay.tick()
        val role = leadership.role as? Role.Leader
        val wantsRelays = term?.wantsRelays == true
        peers.tick(role?.token, wantsRelays, store.answeredAt) { term?.progress().orEmpty() }
    }

    private fun call(call: Input.Call) {
        val path = call.path.substringBefore('?')
        if (call.port == Port.PEER) return peerCall(call, path)
        val parts = path.removePrefix("/").split('/')
        when {
            path == "/ready" -> only("GET", call) { ready(call.id) }
            path == "/hello" -> only("POST", call) { hello(call) }
            path == "/submissions" -> only("POST", call) { intake.submit(call.id, call.body) }
            parts.size == 2 && parts[0] == "submissions" ->
                only("GET", call) { known(call, parts[1]) { intake.poll(call.id, it) } }
            parts.size == 3 && parts[0] == "submissions" && parts[2] == "abort" ->
                only("POST", call) { known(call, parts[1]) { intake.abort(call.id, it) } }
            else -> desk.answer(call.id, 404, """{"error":"no such path"}""")
        }
    }

    private fun only(method: String, call: Input.Call, handle: () -> Unit) {
        if (call.method == method) handle()
        else desk.answer(call.id, 405, """{"error":"use $method"}""")
    }

    /** An id that is not of the given form was never accepted. */
    private fun known(call: Input.Call, text: String, handle: (JobId) -> Unit) {
        val id =
            try {
                URLDecoder.decode(text, Charsets.UTF_8)
            } catch (e: IllegalArgumentException) {
                text
            }
        if (SubmissionReader.isId(id)) handle(JobId(id))
        else desk.answer(call.id, 404, """{"error":"unknown job"}""")
    }

    /**
     * Ready once jobs can be decided on. In an outage users are told when to come back; but where
     * it is this controller alone that the state service doesn't answer, the others serve them.
     */
    private fun ready(call: Long) {
        val troubled = store.troubledSince
        val alone =
            troubled != null && desk.now - troubled > ALONE_AFTER && peers.othersFareBetter()
        if (types.types != null && !alone) desk.answer(call, 200, """{"ready":true}""")
        else desk.answer(call, 503, """{"ready":false}""", 1)
    }

    private fun hello(call: Input.Call) {
        val report =
            reader.read(call.body)
                ?: return desk.answer(call.id, 400, """{"error":"not a report"}""")
        leadership.seen(Token(report.token))
        val current = term
        if (current != null) return current.hello(call.id, report)
        if (!relay.hello(call.id, report, call.body)) sendToLeader(call.id)
    }

    private fun sendToLeader(call: Long) {
        val leader = leadership.leaderToName ?: return desk.answer(call, 421)
        desk.answerBytes(call, 421, Redirect(leader).encode())
    }

    private fun peerCall(call: Input.Call, path: String) {
        when (path) {
            Peers.PATH -> beat(call)
            RelayCodec.PATH -> batch(call)
            else -> desk.answer(call.id, 404)
        }
    }

    private fun beat(call: Input.Call) {
        val beat = BeatCodec.decode(call.body)
        if (beat == null || !peers.knows(beat.member)) return desk.answer(call.id, 400)
        val told = peers.received(beat)
        beat.token?.let { leadership.heard(beat.member, Token(it)) }
        desk.answerBytes(call.id, 200, BeatCodec.encode(told))
    }

    private fun batch(call: Input.Call) {
        val batch = RelayCodec.batch(call.body)
        if (batch == null || !peers.knows(batch.member)) return desk.answer(call.id, 400)
        leadership.seen(Token(batch.token))
        val answer = term?.take(batch) ?: return desk.answer(call.id, 409)
        desk.answerBytes(call.id, 200, RelayCodec.encode(answer))
    }

    private companion object {
        val ALONE_AFTER = 3.secs
    }
}
