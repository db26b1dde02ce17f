package wardmux.app

import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.drain.DrainApi
import wardmux.drain.DrainPaths
import wardmux.forwarding.ForwardingCodec
import wardmux.leader.ControllerServices
import wardmux.model.FencingToken
import wardmux.peers.PeerHeartbeatCodec
import wardmux.peers.PeerHeartbeats

/** The API that the other controllers call. */
class PeerApi(
    services: ControllerServices,
    private val currentTerm: CurrentTerm,
    /** Null if drains are disabled by the settings. */
    private val drainApi: DrainApi?,
) {
    private val context = services.context
    private val peerHeartbeats = services.peerHeartbeats

    /** Answers [request]; [path] is its path without the query. */
    fun handle(request: Input.Request, path: String) {
        when {
            path == PeerHeartbeats.PATH -> handleHeartbeat(request)
            path == ForwardingCodec.PATH -> handleBatch(request)
            path == DrainPaths.FORWARDED && drainApi != null -> drainApi.handleForwarded(request)
            else -> context.answer(request.id, HttpStatus.NOT_FOUND)
        }
    }

    private fun handleHeartbeat(request: Input.Request) {
        val heartbeat = PeerHeartbeatCodec.decode(request.body)
        if (heartbeat == null || !peerHeartbeats.isPeer(heartbeat.member))
            return context.answer(request.id, HttpStatus.BAD_REQUEST)
        val update = peerHeartbeats.receive(heartbeat)
        heartbeat.token?.let {
            currentTerm.election.observeLeader(heartbeat.member, FencingToken(it))
        }
        context.answerBytes(request.id, HttpStatus.OK, PeerHeartbeatCodec.encode(update))
    }

    private fun handleBatch(request: Input.Request) {
        val batch = ForwardingCodec.decodeBatch(request.body)
        if (batch == null || !peerHeartbeats.isPeer(batch.member))
            return context.answer(request.id, HttpStatus.BAD_REQUEST)
        currentTerm.election.observeToken(FencingToken(batch.token))
        val response =
            currentTerm.term?.handleBatch(batch)
                ?: return context.answer(request.id, HttpStatus.CONFLICT)
        context.answerBytes(request.id, HttpStatus.OK, ForwardingCodec.encode(response))
    }
}
