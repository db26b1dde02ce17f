package wardmux.peers

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.model.FencingToken
import wardmux.model.JobProgress
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Sends and receives heartbeats between controllers. A heartbeat tells the peers that its sender is
 * alive and when the key-value store last answered it. The leader's heartbeats also carry its
 * fencing token and the progress of jobs.
 */
class PeerHeartbeats(
    private val context: CoreContext,
    /** The name of this controller. */
    private val member: String,
    private val peers: List<String>,
    private val cancellations: CancellationTracker,
) {
    /** What the last heartbeat of a peer reported, and when it arrived. */
    private class PeerStatus(val lastHeartbeatAt: Micros, val timeSinceStoreResponse: Micros)

    private var nextHeartbeatAt = Micros.ZERO

    /** Peers that have not answered the last heartbeat yet. */
    private val unansweredPeers = HashSet<String>()
    private val statusByPeer = HashMap<String, PeerStatus>()
    private var progress = emptyMap<String, JobProgress>()
    private var progressAt = Micros.LONG_AGO
    private var progressToken = FencingToken(0)
    private var forwardingEnabledByLeader = false

    /** Whether [member] is one of the peers in the settings. */
    fun isPeer(member: String) = member in peers

    /** The leader's task counts for [job], or null if they are not known or too old. */
    fun progressOf(job: String): JobProgress? = if (isRecent(progressAt)) progress[job] else null

    /**
     * Records a peer's heartbeat. The answer holds the cancellations that the peer does not know.
     */
    fun receive(heartbeat: PeerHeartbeat): CancellationUpdate {
        record(heartbeat)
        val cursor = heartbeat.cancellationCursors.find { it.member == member }
        return cancellations.updateAfter(cursor)
    }

    private fun record(heartbeat: PeerHeartbeat) {
        val status = PeerStatus(context.now, Micros(heartbeat.timeSinceStoreResponse))
        statusByPeer[heartbeat.member] = status
        val token = FencingToken(heartbeat.token ?: return)
        // A smaller token shows that this is a delayed heartbeat of a former leader.
        if (token < progressToken) return
        progressToken = token
        progress = heartbeat.progress.associateBy { it.job }
        progressAt = context.now
        forwardingEnabledByLeader = heartbeat.forwardingEnabled
    }

    /** Whether the leader with token [leader] recently asked followers to answer workers too. */
    fun isForwardingEnabledBy(leader: FencingToken) =
        forwardingEnabledByLeader && progressToken == leader && isRecent(progressAt)

    /** Whether a heartbeat from any peer arrived recently. */
    fun isAnyPeerAlive() = statusByPeer.values.any { isRecent(it.lastHeartbeatAt) }

    /**
     * Tells a controller that gets no answer from the key-value store whether the fault is its own
     * connection rather than an outage of the store. This is assumed if the store answers a peer,
     * or if no peer is alive either. A store that works has answered at least the leader in the
     * last two seconds, because the leader sends it more than one request in that time.
     */
    fun isIsolatedFromStore(): Boolean {
        if (peers.isEmpty()) return false
        val alive = statusByPeer.values.filter { isRecent(it.lastHeartbeatAt) }
        return alive.isEmpty() || alive.any { it.timeSinceStoreResponse < MAX_STORE_RESPONSE_AGE }
    }

    private fun isRecent(time: Micros) = context.now - time < MAX_HEARTBEAT_AGE

    /**
     * Sends a heartbeat once a second to each peer, except to peers whose answer to the previous
     * heartbeat is outstanding and has not timed out.
     */
    fun tick(
        token: FencingToken?,
        forwardingEnabled: Boolean,
        storeAvailableAt: Micros,
        progress: () -> List<JobProgress>,
    ) {
        if (context.now < nextHeartbeatAt) return
        nextHeartbeatAt = context.now + HEARTBEAT_PERIOD
        val heartbeat =
            PeerHeartbeat(
                member,
                token?.value,
                (context.now - storeAvailableAt).value,
                progress(),
                forwardingEnabled,
                cancellations.cursors(),
            )
        val body = PeerHeartbeatCodec.encode(heartbeat)
        for (peer in peers) if (unansweredPeers.add(peer)) send(peer, body)
    }

    private fun send(peer: String, body: ByteArray) {
        val sentAt = context.now
        context.send(Target.Peer(peer), "POST", PATH, body, HEARTBEAT_TIMEOUT) { outcome ->
            unansweredPeers.remove(peer)
            val response = outcome as? Outcome.Response
            if (response?.status != HttpStatus.OK) return@send
            val update = PeerHeartbeatCodec.decodeUpdate(response.body) ?: return@send
            cancellations.applyUpdate(peer, update, sentAt)
        }
    }

    companion object {
        /** The path of the request that carries a heartbeat. */
        const val PATH = "/beat"
        private val HEARTBEAT_PERIOD = 1.seconds
        /** The age from which a heartbeat no longer counts as recent. */
        private val MAX_HEARTBEAT_AGE = 3.seconds
        private val MAX_STORE_RESPONSE_AGE = 2.seconds
        private val HEARTBEAT_TIMEOUT = 900.milliseconds
    }
}
