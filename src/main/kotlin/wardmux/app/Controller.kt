package wardmux.app

import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.Effect
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.drain.DrainApi
import wardmux.forwarding.ForwarderSettings
import wardmux.forwarding.HeartbeatForwarder
import wardmux.forwarding.StoredBatchClient
import wardmux.jobs.JobApi
import wardmux.leader.ControllerServices
import wardmux.model.JobId
import wardmux.model.JobProgress
import wardmux.model.Micros

/**
 * One controller as a state machine. It receives inputs with the time of each, and returns the
 * requests to send, the responses to give and the computations to run. [processIncarnation]
 * identifies the process: no two processes share it, not even successive processes of one member.
 */
class Controller(
    platform: PlatformConfig,
    operators: OperatorSettings,
    processIncarnation: String,
) {
    private val services: ControllerServices =
        ControllerServices(platform, operators, processIncarnation) {
            currentTerm.term?.jobCancelled(it)
        }
    private val context = services.context
    private val store = services.store
    private val cancellations = services.cancellations
    private val renewals = services.renewals
    private val peerHeartbeats = services.peerHeartbeats
    private val jobs =
        JobApi(
            context,
            store,
            services.machineTypes,
            platform.deployment.teams,
            cancellations,
            ::progressOf,
        )
    private val currentTerm: CurrentTerm = CurrentTerm(services, jobs)
    private val leadership = currentTerm.election
    private val leaderRedirect = LeaderRedirect(context, leadership)
    private val forwarder =
        HeartbeatForwarder(
            context,
            leadership,
            peerHeartbeats,
            cancellations,
            renewals,
            StoredBatchClient(context, store, platform.member),
            ForwarderSettings(
                platform.member,
                processIncarnation,
                platform.deployment.workers,
                platform.peers.size,
                platform.deployment.limits.sockets.workers,
            ),
            leaderRedirect::redirect,
        )

    /** The API for operators; null if drains are disabled by the settings. */
    private val drainApi =
        operators.drain?.let { DrainApi(context, store, CurrentDrainLeader(currentTerm)) }
    private val publicApi = PublicApi(services, currentTerm, forwarder, leaderRedirect, jobs)
    private val peerApi = PeerApi(services, currentTerm, drainApi)

    /** Handles [input], which arrived at monotonic time [now] and time of day [wallTime]. */
    fun handle(now: Micros, wallTime: Micros, input: Input): List<Effect> {
        context.setTime(now, wallTime)
        when (input) {
            is Input.Tick -> tick()
            is Input.Request -> handleRequest(input)
            is Input.Response -> context.complete(input)
            is Input.Computed -> context.complete(input)
        }
        store.sendDue()
        return context.takeEffects()
    }

    /** Returns the effects that an input had before its handling failed. */
    fun pendingEffects(): List<Effect> = context.takeEffects()

    private fun tick() {
        leadership.tick()
        cancellations.tick()
        jobs.tick()
        services.machineTypes.tick(isLeader = currentTerm.term != null)
        currentTerm.term?.tick()
        forwarder.tick()
        services.renewalCounters.tick()
        val forwardingEnabled = currentTerm.term?.forwardingEnabled == true
        peerHeartbeats.tick(currentTerm.token, forwardingEnabled, store.lastAvailableAt) {
            currentTerm.term?.progress().orEmpty()
        }
    }

    private fun handleRequest(request: Input.Request) {
        val path = request.path.substringBefore('?')
        when (request.listener) {
            ListenerKind.API -> publicApi.handle(request, path)
            ListenerKind.PEER -> peerApi.handle(request, path)
            ListenerKind.OPERATOR ->
                if (drainApi != null) drainApi.handle(request)
                else context.answer(request.id, HttpStatus.NOT_FOUND)
        }
    }

    private fun progressOf(job: JobId): JobProgress? =
        currentTerm.term?.progressOf(job) ?: peerHeartbeats.progressOf(job.value)
}
