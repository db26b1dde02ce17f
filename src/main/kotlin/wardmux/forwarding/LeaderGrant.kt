package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.peers.CancellationTracker

/** What a follower knows of its leader's wish that followers answer workers. */
enum class ForwardingMode {
    /** The leader has not responded yet. */
    UNKNOWN,
    ENABLED,

    /** The leader answers all workers itself. */
    DISABLED,
}

/**
 * What the leader's last response allows this follower, and asks of it. The grant is valid for a
 * time that counts from when it was requested, so a follower that is cut off stops by itself.
 */
class LeaderGrant(
    private val context: CoreContext,
    private val cancellations: CancellationTracker,
) {
    private val log = logger<LeaderGrant>()
    private var validUntil = Micros.LONG_AGO

    /** Whether workers may be answered now. */
    val isValid: Boolean
        get() = context.now < validUntil

    /** What is known of cancelled tasks; null before the leader's first response. */
    var cancellationView: GrantedCancellationView? = null
        private set

    /** Whether followers answer workers. */
    var mode = ForwardingMode.UNKNOWN
        private set

    /** The leader's clock in its last response, in microseconds; 0 before the first. */
    var leaderClock = 0L
        private set

    private var lastResponseAt = Micros.ZERO

    /** Whether each worker is redirected once, as the leader is unsure of its lease. */
    var redirectsWorkers = false
        private set

    private var rebalanceCount = 0
    private var rebalanceTarget: String? = null

    /** The time since the last response. */
    val sinceResponse: Micros
        get() = context.now - lastResponseAt

    /** Another controller leads, or none: nothing is known or allowed. */
    fun reset() {
        revoke()
        cancellationView = null
        mode = ForwardingMode.UNKNOWN
        leaderClock = 0
        rebalanceCount = 0
        redirectsWorkers = false
    }

    /** Ends the grant. */
    fun revoke() {
        validUntil = Micros.LONG_AGO
    }

    /** The leader has said by another way that it wants forwarding again. */
    fun resetMode() {
        mode = ForwardingMode.UNKNOWN
    }

    /** Takes in the [response] of [leader] to a batch that was sent at [sentAt]. */
    fun applyResponse(leader: String?, response: HeartbeatBatchResponse, sentAt: Micros) {
        leaderClock = response.leaderClock
        lastResponseAt = context.now
        setMode(leader, response.forwardingEnabled)
        val duration = Micros(response.grantDuration) * (1 - MAX_CLOCK_DRIFT)
        validUntil = if (response.forwardingEnabled) sentAt + duration else Micros.LONG_AGO
        cancellationView = GrantedCancellationView(response, validUntil, cancellations)
        rebalanceCount = response.rebalanceCount
        rebalanceTarget = response.rebalanceTarget
        redirectsWorkers = response.redirectsWorkers
    }

    private fun setMode(leader: String?, enabled: Boolean) {
        val newMode = if (enabled) ForwardingMode.ENABLED else ForwardingMode.DISABLED
        if (mode != newMode) log.info("forwarding to {}: {}", leader, newMode)
        mode = newMode
    }

    /** The member to redirect the next worker to for the balance, or null to answer it. */
    fun takeRebalanceTarget(): String? {
        val target = rebalanceTarget ?: return null
        if (rebalanceCount <= 0) return null
        rebalanceCount--
        return target
    }
}
