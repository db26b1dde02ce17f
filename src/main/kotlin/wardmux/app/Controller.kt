package wardmux.app

import java.net.URLDecoder
import wardmux.cloud.CloudClient
import wardmux.cloud.MachineTypeCatalog
import wardmux.config.OperatorSettings
import wardmux.config.PlatformSettings
import wardmux.core.CoreContext
import wardmux.core.Effect
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.Port
import wardmux.drain.DrainApi
import wardmux.election.Leadership
import wardmux.election.Role
import wardmux.forwarding.Relay
import wardmux.forwarding.RelayCodec
import wardmux.forwarding.StoreRelayClient
import wardmux.http.ApiPaths
import wardmux.jobs.Intake
import wardmux.jobs.SubmissionReader
import wardmux.leader.LeaderSession
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalCounters
import wardmux.logging.logger
import wardmux.model.JobId
import wardmux.model.Micros
import wardmux.model.Token
import wardmux.model.secs
import wardmux.peers.Cancellations
import wardmux.peers.HeartbeatCodec
import wardmux.peers.Peers
import wardmux.store.StateStore
import wardmux.worker.Redirect
import wardmux.worker.ReportReader

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
    private val context = CoreContext()
    private val store = StateStore(context, platform.facts.state, platform.facts.nodes)
    private val cloud = CloudClient(context, platform.facts.cloud.rps)
    private val types = MachineTypeCatalog(context, store, cloud)
    private val siblings = platform.siblings.map { it.member }
    private val cancellations =
        Cancellations(
            context,
            store,
            boot,
            siblings,
            Cancellations.horizon(platform.facts.workers.cancelS.secs),
        ) {
            term?.cancelled(it)
        }
    private val renewalCounters = RenewalCounters(context)
    private val renewals = LeaseRenewals(context, renewalCounters)
    private val peers = Peers(context, platform.member, siblings, cancellations)
    private val reader = ReportReader(platform.facts.limits.reportCacheBytes)
    private val intake =
        Intake(context, store, types, platform.facts.teams, cancellations::confirmed, ::progressOf)
    private var term: LeaderSession? = null
    private val leadership =
        Leadership(
            context,
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
            context,
            leadership,
            platform.member,
            boot,
            platform.facts.workers,
            cancellations,
            renewals,
            StoreRelayClient(context, store, platform.member),
            platform.siblings.size,
            platform.facts.limits.sockets.workers,
            peers::wantsRelays,
            ::sendToLeader,
        )

    /** The operators' interface; null where drains are switched off. */
    private val drainApi =
        operators.drain?.let {
            DrainApi(context, store, { term?.drains?.desk }, leadership::leaderToName)
        }

    private fun begin(role: Role.Leader) {
        term =
            LeaderSession(
                context,
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
                renewals,
                peers::hearsOthers,
            )
    }

    private fun end() {
        term?.end()
        term = null
    }

    private fun progressOf(id: JobId) = term?.progressOf(id) ?: peers.progressOf(id.value)

    /** Handles one input that came at the given steady and wall time. */
    fun handle(now: Micros, wall: Micros, input: Input): List<Effect> {
        context.at(now, wall)
        when (input) {
            is Input.Tick -> tick()
            is Input.Call -> call(input)
            is Input.Reply -> context.settle(input)
            is Input.Solved -> context.settle(input)
        }
        store.sendDue()
        return context.take()
    }

    /** The effects so far of an input whose handling failed. */
    fun pendingEffects(): List<Effect> = context.take()

    private fun tick() {
        leadership.tick()
        cancellations.tick()
        intake.tick()
        types.tick(leading = term != null)
        term?.tick()
        relay.tick()
        renewalCounters.tick()
        val role = leadership.role as? Role.Leader
        val wantsRelays = term?.wantsRelays == true
        peers.tick(role?.token, wantsRelays, store.answeredAt) { term?.progress().orEmpty() }
    }

    private fun call(call: Input.Call) {
        val path = call.path.substringBefore('?')
        if (call.port == Port.PEER) return peerCall(call, path)
        if (call.port == Port.OPERATOR) return operatorCall(call)
        val parts = path.removePrefix("/").split('/')
        when {
            path == ApiPaths.READY -> only("GET", call) { ready(call.id) }
            path == ApiPaths.REPORT -> only("POST", call) { handleReport(call) }
            path == ApiPaths.SUBMISSIONS -> only("POST", call) { intake.submit(call.id, call.body) }
            parts.size == 2 && "/${parts[0]}" == ApiPaths.SUBMISSIONS ->
                only("GET", call) { known(call, parts[1]) { intake.poll(call.id, it) } }
            parts.size == ABORT_PARTS &&
                "/${parts[0]}" == ApiPaths.SUBMISSIONS &&
                parts[2] == ApiPaths.ABORT ->
                only("POST", call) { known(call, parts[1]) { intake.abort(call.id, it) } }
            else -> context.answer(call.id, HttpStatus.NOT_FOUND, """{"error":"no such path"}""")
        }
    }

    private fun only(method: String, call: Input.Call, handle: () -> Unit) {
        if (call.method == method) handle()
        else context.answer(call.id, HttpStatus.METHOD_NOT_ALLOWED, """{"error":"use $method"}""")
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
        else context.answer(call.id, HttpStatus.NOT_FOUND, """{"error":"unknown job"}""")
    }

    /**
     * Ready once jobs can be decided on. In an outage users are told when to come back; but where
     * it is this controller alone that the state service doesn't answer, the others serve them.
     */
    private fun ready(call: Long) {
        val troubled = store.troubledSince
        val alone =
            troubled != null && context.now - troubled > ALONE_AFTER && peers.othersFareBetter()
        if (types.types != null && !alone) context.answer(call, HttpStatus.OK, """{"ready":true}""")
        else context.answer(call, HttpStatus.SERVICE_UNAVAILABLE, """{"ready":false}""", 1)
    }

    private fun handleReport(call: Input.Call) {
        val report =
            reader.read(call.body)
                ?: return context.answer(
                    call.id,
                    HttpStatus.BAD_REQUEST,
                    """{"error":"not a report"}""",
                )
        leadership.seen(Token(report.token))
        val current = term
        if (current != null) return current.handleReport(call.id, report)
        if (!relay.handleReport(call.id, report, call.body)) sendToLeader(call.id)
    }

    private fun sendToLeader(call: Long) {
        val leader =
            leadership.leaderToName ?: return context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
        context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, Redirect(leader).encode())
    }

    private fun operatorCall(call: Input.Call) {
        val api = drainApi ?: return context.answer(call.id, HttpStatus.NOT_FOUND)
        api.call(call)
    }

    private fun peerCall(call: Input.Call, path: String) {
        when {
            path == Peers.PATH -> heartbeat(call)
            path == RelayCodec.PATH -> batch(call)
            path == DrainApi.PEER_PATH && drainApi != null -> drainApi.forwarded(call)
            else -> context.answer(call.id, HttpStatus.NOT_FOUND)
        }
    }

    private fun heartbeat(call: Input.Call) {
        val heartbeat = HeartbeatCodec.decode(call.body)
        if (heartbeat == null || !peers.knows(heartbeat.member))
            return context.answer(call.id, HttpStatus.BAD_REQUEST)
        val told = peers.received(heartbeat)
        heartbeat.token?.let { leadership.heard(heartbeat.member, Token(it)) }
        context.answerBytes(call.id, HttpStatus.OK, HeartbeatCodec.encode(told))
    }

    private fun batch(call: Input.Call) {
        val batch = RelayCodec.batch(call.body)
        if (batch == null || !peers.knows(batch.member))
            return context.answer(call.id, HttpStatus.BAD_REQUEST)
        leadership.seen(Token(batch.token))
        val answer = term?.take(batch) ?: return context.answer(call.id, HttpStatus.CONFLICT)
        context.answerBytes(call.id, HttpStatus.OK, RelayCodec.encode(answer))
    }

    private companion object {
        val ALONE_AFTER = 3.secs

        /** "submissions", the id and "abort". */
        const val ABORT_PARTS = 3
    }
}
