package wardmux.app

import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.forwarding.HeartbeatForwarder
import wardmux.http.ApiPaths
import wardmux.jobs.JobApi
import wardmux.leader.ControllerServices
import wardmux.model.FencingToken
import wardmux.model.seconds

/** The API that users and workers call. */
class PublicApi(
    private val services: ControllerServices,
    private val currentTerm: CurrentTerm,
    private val forwarder: HeartbeatForwarder,
    private val leaderRedirect: LeaderRedirect,
    jobs: JobApi,
) {
    private val context = services.context
    private val routes =
        RouteTable(
            context,
            listOf(
                Route.Fixed("GET", ApiPaths.READY) { answerReadiness(it.id) },
                Route.Fixed("POST", ApiPaths.HEARTBEAT) { handleHeartbeat(it) },
                Route.Fixed("POST", ApiPaths.SUBMISSIONS) { jobs.submit(it.id, it.body) },
                Route.OfJob("GET", ApiPaths.JOB) { request, job -> jobs.status(request.id, job) },
                Route.OfJob("POST", ApiPaths.CANCELLATION) { request, job ->
                    jobs.cancel(request.id, job)
                },
            ),
        )

    /** Answers [request]; [path] is its path without the query. */
    fun handle(request: Input.Request, path: String) = routes.handle(request, path)

    /**
     * Answers whether this controller can decide on jobs, which requires the list of machine types.
     * In an outage of the key-value store all controllers stay ready, and their answers tell users
     * when to retry. If the store fails to answer this controller only, the controller is not
     * ready, so that users turn to the others.
     */
    private fun answerReadiness(requestId: Long) {
        if (services.machineTypes.types != null && !isOnlyControllerWithoutStore())
            context.answer(requestId, HttpStatus.OK, """{"ready":true}""")
        else
            context.answer(
                requestId,
                HttpStatus.SERVICE_UNAVAILABLE,
                """{"ready":false}""",
                RETRY_AFTER_S,
            )
    }

    private fun isOnlyControllerWithoutStore(): Boolean {
        val unavailableSince = services.store.unavailableSince ?: return false
        return context.now - unavailableSince > MAX_STORE_OUTAGE_WHILE_READY &&
            services.peerHeartbeats.isIsolatedFromStore()
    }

    private fun handleHeartbeat(request: Input.Request) {
        val heartbeat =
            services.heartbeatReader.read(request.body)
                ?: return context.answer(
                    request.id,
                    HttpStatus.BAD_REQUEST,
                    """{"error":"the body is not a valid heartbeat"}""",
                )
        currentTerm.election.observeToken(FencingToken(heartbeat.token))
        val term = currentTerm.term
        if (term != null) return term.handleHeartbeat(request.id, heartbeat)
        val isHandled = forwarder.handleHeartbeat(request.id, heartbeat, request.body)
        if (!isHandled) leaderRedirect.redirect(request.id)
    }

    private companion object {
        const val RETRY_AFTER_S = 1

        /**
         * How long the key-value store may fail to answer before a controller reports that it is
         * not ready, if the store fails to answer that controller only.
         */
        val MAX_STORE_OUTAGE_WHILE_READY = 3.seconds
    }
}
