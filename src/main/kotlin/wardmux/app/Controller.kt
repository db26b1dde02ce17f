package wardmux.app

import java.net.URLDecoder
import wardmux.cloud.CloudClient
import wardmux.cloud.MachineTypeCatalog
import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.core.Effect
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.drain.DrainApi
import wardmux.drain.DrainLeaderLocator
import wardmux.drain.DrainPaths
import wardmux.drain.DrainService
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.HeartbeatForwarder
import wardmux.forwarding.StoredBatchClient
import wardmux.http.ApiPaths
import wardmux.jobs.Intake
import wardmux.jobs.SubmissionReader
import wardmux.leader.LeaderTerm
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalCounters
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.JobId
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.peers.Cancellations
import wardmux.peers.PeerHeartbeatCodec
import wardmux.peers.PeerHeartbeats
import wardmux.store.KeyValueStore
import wardmux.worker.Redirect
import wardmux.worker.WorkerHeartbeatReader

/**
 * One controller as a state machine: takes inputs with their time, returns what to send and answer.
 */
class Controller(
    private val platform: PlatformConfig,
    private val operators: OperatorSettings,
    /** Tells this process from every other, a former one of the same member above all. */
    boot: String,
) {
    private val log = logger<Controller>()
    private val context = CoreContext()
    private val store = KeyValueStore(context, platform.deployment.state, platform.deployment.nodes)
    private val cloud = CloudClient(context, platform.deployment.cloud.rps)
    private val types = MachineTypeCatalog(context, store, cloud)
    private val peerNames = platform.peers.map { it.member }
    private val cancellations =
        Cancellations(
            context,
            store,
            boot,
            peerNames,
            Cancellations.horizon(platform.deployment.workers.cancelS.seconds),
        ) {
            term?.cancelled(it)
        }
    private val renewalCounters = RenewalCounters(context)
    private val renewals = LeaseRenewals(context, renewalCounters)
    private val peerHeartbeats = PeerHeartbeats(context, platform.member, peerNames, cancellations)
    private val reader = WorkerHeartbeatReader(platform.deployment.limits.heartbeatCacheBytes)
    private val intake =
        Intake(
            context,
            store,
            types,
            platform.deployment.teams,
            cancellations::confirmed,
            ::progressOf,
        )
    private var term: LeaderTerm? = null
    private val leadership =
        LeaderElection(
            context,
            store,
            platform.member,
            boot = boot,
            life = operators.leaderLeaseS.seconds,
            listener =
                object : LeaderElection.Listener {
                    override fun elected(role: Role.Leader) = begin(role)

                    override fun deposed() = end()
                },
        )

    private val relay =
        HeartbeatForwarder(
            context,
            leadership,
            platform.member,
            boot,
            platform.deployment.workers,
            cancellations,
            renewals,
            StoredBatchClient(context, store, platform.member),
            platform.peers.size,
            platform.deployment.limits.sockets.workers,
            peerHeartbeats::wantsRelays,
            ::sendToLeader,
        )

    /** The operators' interface; null where drains are switched off. */
    private val drainApi = operators.drain?.let { DrainApi(context, store, DrainLeader()) }

    private fun begin(role: Role.Leader) {
        term =
            LeaderTerm(
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
                peerHeartbeats::hearsOthers,
            )
    }

    private fun end() {
        term?.end()
        term = null
    }

    private inner class DrainLeader : DrainLeaderLocator {
        override val local: DrainService?
            get() = term?.drains?.service

        override val remote: String?
            get() = leadership.leaderToName
    }

    private fun progressOf(id: JobId) = term?.progressOf(id) ?: peerHeartbeats.progressOf(id.value)

    /** Handles one input that came at the given steady and wall time. */
    fun handle(now: Micros, wall: Micros, input: Input): List<Effect> {
        context.setTime(now, wall)
        when (input) {
            is Input.Tick -> tick()
            is Input.Request -> call(input)
            is Input.Response -> context.complete(input)
            is Input.Computed -> context.complete(input)
        }
        store.sendDue()
        return context.takeEffects()
    }

    /** The effects so far of an input whose handling failed. */
    fun pendingEffects(): List<Effect> = context.takeEffects()

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
        peerHeartbeats.tick(role?.token, wantsRelays, store.answeredAt) {
            term?.progress().orEmpty()
        }
    }

    private fun call(call: Input.Request) {
        val path = call.path.substringBefore('?')
        if (call.listener == ListenerKind.PEER) return peerCall(call, path)
        if (call.listener == ListenerKind.OPERATOR) return operatorCall(call)
        val parts = path.removePrefix("/").split('/')
        when {
            path == ApiPaths.READY -> only("GET", call) { ready(call.id) }
            path == ApiPaths.REPORT -> only("POST", call) { handleHeartbeat(call) }
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

    private fun only(method: String, call: Input.Request, handle: () -> Unit) {
        if (call.method == method) handle()
        else context.answer(call.id, HttpStatus.METHOD_NOT_ALLOWED, """{"error":"use $method"}""")
    }

    /** An id that is not of the given form was never accepted. */
    private fun known(call: Input.Request, text: String, handle: (JobId) -> Unit) {
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
            troubled != null &&
                context.now - troubled > ALONE_AFTER &&
                peerHeartbeats.othersFareBetter()
        if (types.types != null && !alone) context.answer(call, HttpStatus.OK, """{"ready":true}""")
        else context.answer(call, HttpStatus.SERVICE_UNAVAILABLE, """{"ready":false}""", 1)
    }

    private fun handleHeartbeat(call: Input.Request) {
        val report =
            reader.read(call.body)
                ?: return context.answer(
                    call.id,
                    HttpStatus.BAD_REQUEST,
                    """{"error":"not a report"}""",
                )
        leadership.seen(FencingToken(report.token))
        val current = term
        if (current != null) return current.handleHeartbeat(call.id, report)
        if (!relay.handleHeartbeat(call.id, report, call.body)) sendToLeader(call.id)
    }

    private fun sendToLeader(call: Long) {
        val leader =
            leadership.leaderToName ?: return context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
        context.answerBytes(call, HttpStatus.MISDIRECTED_REQUEST, Redirect(leader).encode())
    }

    private fun operatorCall(call: Input.Request) {
        val api = drainApi ?: return context.answer(call.id, HttpStatus.NOT_FOUND)
        api.handle(call)
    }

    private fun peerCall(call: Input.Request, path: String) {
        when {
            path == PeerHeartbeats.PATH -> heartbeat(call)
            path == ForwardingCodec.PATH -> batch(call)
            path == DrainPaths.FORWARDED && drainApi != null -> drainApi.handleForwarded(call)
            else -> context.answer(call.id, HttpStatus.NOT_FOUND)
        }
    }

    private fun heartbeat(call: Input.Request) {
        val heartbeat = PeerHeartbeatCodec.decode(call.body)
        if (heartbeat == null || !peerHeartbeats.knows(heartbeat.member))
            return context.answer(call.id, HttpStatus.BAD_REQUEST)
        val told = peerHeartbeats.received(heartbeat)
        heartbeat.token?.let { leadership.heard(heartbeat.member, FencingToken(it)) }
        context.answerBytes(call.id, HttpStatus.OK, PeerHeartbeatCodec.encode(told))
    }

    private fun batch(call: Input.Request) {
        val batch = ForwardingCodec.batch(call.body)
        if (batch == null || !peerHeartbeats.knows(batch.member))
            return context.answer(call.id, HttpStatus.BAD_REQUEST)
        leadership.seen(FencingToken(batch.token))
        val answer = term?.take(batch) ?: return context.answer(call.id, HttpStatus.CONFLICT)
        context.answerBytes(call.id, HttpStatus.OK, ForwardingCodec.encode(answer))
    }

    private companion object {
        val ALONE_AFTER = 3.seconds

        /** "submissions", the id and "abort". */
        const val ABORT_PARTS = 3
    }
}
