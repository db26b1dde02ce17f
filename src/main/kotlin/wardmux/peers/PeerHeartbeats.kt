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
 * Talk between the controllers: each tells the others that it lives and whether the state service
 * answers it; the leader also who leads and how far the jobs are.
 */
class PeerHeartbeats(
    private val context: CoreContext,
    private val member: String,
    private val peers: List<String>,
    private val cancellations: CancellationTracker,
) {
    private class PeerStatus(val at: Micros, val storeSilence: Micros)

    private var nextHeartbeatAt = Micros.ZERO
    private val busy = HashSet<String>()
    private val heard = HashMap<String, PeerStatus>()
    private var progress = emptyMap<String, JobProgress>()
    private var progressAt = Micros.LONG_AGO
    private var progressToken = 0L
    private var forwardingEnabledByLeader = false

    /** Whether [member] is one of the siblings in the settings. */
    fun isPeer(member: String) = member in peers

    /** The leader's counts for [job], if they are recent. */
    fun progressOf(job: String): JobProgress? =
        if (context.now - progressAt < STALE) progress[job] else null

    /** The answer says what this controller told users to be cancelled. */
    fun receive(heartbeat: PeerHeartbeat): CancellationUpdate {
        recordHeartbeat(heartbeat)
        return cancellations.updateAfter(heartbeat.cancellationCursors.find { it.member == member })
    }

    private fun recordHeartbeat(heartbeat: PeerHeartbeat) {
        heard[heartbeat.member] = PeerStatus(context.now, Micros(heartbeat.storeSilence))
        val token = heartbeat.token ?: return
        // A late copy of what a former leader said.
        if (token < progressToken) return
        progressToken = token
        progress = heartbeat.progress.associateBy { it.job }
        progressAt = context.now
        forwardingEnabledByLeader = heartbeat.forwardingEnabled
    }

    /** The leader of this token has said so in its last heartbeat. */
    fun isForwardingEnabledBy(leader: FencingToken) =
        forwardingEnabledByLeader &&
            progressToken == leader.value &&
            context.now - progressAt < STALE

    /** Whether a heartbeat of any sibling came lately. */
    fun isAnyPeerAlive() = heard.values.any { context.now - it.at < STALE }

    /**
     * With the state service silent for this controller: true if it answers a sibling (the leader
     * asks it more than once in two seconds), or if no sibling is heard either, so that it is this
     * controller that is cut off.
     */
    fun isIsolatedFromStore(): Boolean {
        if (peers.isEmpty()) return false
        val lately = heard.values.filter { context.now - it.at < STALE }
        return lately.isEmpty() || lately.any { it.storeSilence < ANSWERED_LATELY }
    }

    /** Sends a heartbeat to each sibling once a second, one at a time to each. */
    fun tick(
        token: FencingToken?,
        forwardingEnabled: Boolean,
        stateAnsweredAt: Micros,
        progress: () -> List<JobProgress>,
    ) {
        if (context.now < nextHeartbeatAt) return
        nextHeartbeatAt = context.now + PERIOD
        val silence = (context.now - stateAnsweredAt).value
        val heard = cancellations.cursors()
        val heartbeat =
            PeerHeartbeat(member, token?.value, silence, progress(), forwardingEnabled, heard)
        val body = PeerHeartbeatCodec.encode(heartbeat)
        val sentAt = context.now
        for (peer in peers) {
            if (!busy.add(peer)) continue
            context.send(Target.Peer(peer), "POST", PATH, body, TIMEOUT) { outcome ->
                busy.remove(peer)
                val response = outcome as? Outcome.Response
                val told =
                    response
                        ?.takeIf { it.status == HttpStatus.OK }
                        ?.let { PeerHeartbeatCodec.decodeUpdate(it.body) }
                if (told != null) cancellations.applyUpdate(peer, told, sentAt)
            }
        }
    }

    companion object {
        const val PATH = "/beat"
        private val PERIOD = 1.seconds
        private val STALE = 3.seconds
        private val ANSWERED_LATELY = 2.seconds
        private val TIMEOUT = 900.milliseconds
    }
}
