package wardmux.forwarding

import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.peers.CancellationTracker

/** Whether the leader wants followers to answer workers, as far as a follower knows. */
enum class ForwardingMode {
    /** The leader has not responded yet. */
    UNKNOWN,

    /** Followers answer workers in addition to the leader. */
    ENABLED,

    /** The leader answers all workers itself. */
    DISABLED,
}

/**
 * The grant and the instructions in the leader's last response to this follower. The validity of a
 * grant is counted from when the follower requested it, so a follower that can no longer reach the
 * leader stops answering workers on its own.
 */
class LeaderGrant(
    private val context: CoreContext,
    private val cancellations: CancellationTracker,
) {
    private val log = logger<LeaderGrant>()
    private var validUntil = Micros.LONG_AGO

    /** Whether this follower may currently answer workers. */
    val isValid: Boolean
        get() = context.now < validUntil

    /** The view of cancelled tasks under this grant; null before the leader's first response. */
    var cancellationView: GrantedCancellationView? = null
        private set

    /** Whether the leader wants followers to answer workers. */
    var mode = ForwardingMode.UNKNOWN
        private set

    /** The leader's clock in its last response, in microseconds; 0 before the first. */
    var leaderClock = 0L
        private set

    private var lastResponseAt = Micros.ZERO

    /** Whether each worker is redirected once because the leader is unsure of its leader lease. */
    var redirectsWorkers = false
        private set

    private var rebalanceCount = 0
    private var rebalanceTarget: String? = null

    /** The time since the leader's last response arrived. */
    val sinceResponse: Micros
        get() = context.now - lastResponseAt

    /**
     * Revokes the grant and discards all instructions, because the leader has changed or is gone.
     */
    fun reset() {
        revoke()
        cancellationView = null
        mode = ForwardingMode.UNKNOWN
        leaderClock = 0
        rebalanceCount = 0
        redirectsWorkers = false
    }

    /** Revokes the grant. */
    fun revoke() {
        validUntil = Micros.LONG_AGO
    }

    /**
     * Sets [mode] to unknown, because a heartbeat of the leader says that it enables forwarding.
     */
    fun resetMode() {
        mode = ForwardingMode.UNKNOWN
    }

    /** Applies the [response] of the member [leader] to a batch that was sent at [sentAt]. */
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
        if (mode != newMode)
            log.info("forwarding mode for leader {} changed to {}", leader, newMode)
        mode = newMode
    }

    /**
     * The member to which the next worker is redirected to balance the controllers, or null if the
     * worker is to be answered. Each non-null result counts as one redirected worker.
     */
    fun takeRebalanceTarget(): String? {
        val target = rebalanceTarget ?: return null
        if (rebalanceCount <= 0) return null
        rebalanceCount--
        return target
    }
}
