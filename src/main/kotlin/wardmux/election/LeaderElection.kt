package wardmux.election

import kotlinx.serialization.json.JsonElement
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult

/**
 * Elects one controller as the leader. The leader is the controller whose record is stored under
 * the leader key, which is bound to a lease of the key-value store. The fencing token is the
 * revision of the write that took the key, so a later leader has a larger token.
 *
 * A follower watches the key and campaigns once the key is absent. A leader renews its lease until
 * the lease expires, the leader resigns, or it observes a newer token.
 */
class LeaderElection(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
    /** Identifies this process. It differs between any two processes, also of the same member. */
    private val processIncarnation: String,
    private val leaseDuration: Micros,
    private val listener: Listener,
) {
    /** Receives the start and the end of this controller's leadership. */
    interface Listener {
        /** Called when this controller starts to lead with the token of [role]. */
        fun elected(role: Role.Leader)

        /** Called when this controller no longer leads. */
        fun deposed()
    }

    private val log = logger<LeaderElection>()
    private val lease = LeaderLease(context, store, leaseDuration, ::leaseExpired)
    private val campaign =
        LeaderCampaign(context, store, LeaderRecord(member, processIncarnation), leaseDuration)

    /** The current role of this controller. */
    var role: Role = Role.Follower(null, null)
        private set

    /** The time when a follower's knowledge of the leader was last confirmed. */
    private var leaderConfirmedAt = Micros.LONG_AGO

    /**
     * When to read the key again. Null while a request or a watch is pending, and while this
     * controller leads.
     */
    private var nextReadAt: Micros? = Micros.LONG_AGO

    /** Whether this controller leads and its lease cannot have expired yet. */
    val leaseIsValid: Boolean
        get() = lease.isValid

    /**
     * The time since which the lease of this leader may have expired, or null if the lease cannot
     * have expired yet or this controller does not lead.
     */
    val leaseUncertainSince: Micros?
        get() = lease.uncertainSince

    /**
     * The other controller that leads, to which requests are redirected. Null if no other leader is
     * known or its leadership was not confirmed recently.
     */
    val knownLeader: String?
        get() =
            (role as? Role.Follower)?.leader?.takeIf {
                it != member && context.now - leaderConfirmedAt < MAX_CONFIRMATION_AGE
            }

    /** Reads the key and renews the lease when either is due. */
    fun tick() {
        val due = nextReadAt
        if (due != null && context.now >= due) readKey()
        lease.tick()
    }

    /** Steps down if [token], received in any message, is newer than the token of this leader. */
    fun observeToken(token: FencingToken) {
        val leader = role as? Role.Leader ?: return
        if (token > leader.token) {
            log.info(
                "stepping down with fencing token {}: observed the newer token {}",
                leader.token,
                token,
            )
            stepDown(token, Micros.ZERO)
        }
    }

    /**
     * Records that the peer [leader] claims to lead with [token]. Only the leader key decides which
     * controller leads. The claim lets this controller redirect workers to a new leader sooner.
     */
    fun observeLeader(leader: String, token: FencingToken) {
        observeToken(token)
        val follower = role as? Role.Follower ?: return
        if (follower.token == token) leaderConfirmedAt = context.now
        if (follower.token == null || token > follower.token) {
            role = Role.Follower(leader, token)
            leaderConfirmedAt = context.now
        }
    }

    /**
     * Gives up leadership because of [reason], so that another controller can take it. This
     * controller reads the key again, and may campaign, only after twice the duration of the lease,
     * so that other controllers have the time to campaign first.
     */
    fun resign(reason: String) {
        val leader = role as? Role.Leader ?: return
        log.info("resigning with fencing token {}: {}", leader.token, reason)
        stepDown(leader.token, leaseDuration + leaseDuration)
        store.revokeLease(leader.lease) {}
    }

    /** Steps down after the store rejected a write because the leader key has changed. */
    fun fenced() {
        val leader = role as? Role.Leader ?: return
        log.info("stepping down with fencing token {}: the leader key has changed", leader.token)
        stepDown(leader.token, Micros.ZERO)
    }

    private fun leaseExpired(leader: Role.Leader) {
        log.info("stepping down with fencing token {}: the lease has expired", leader.token)
        stepDown(leader.token, Micros.ZERO)
    }

    /**
     * Becomes a follower that knows no leader, and reads the key again after [delay]. [token] is
     * the newest fencing token that this controller knows.
     */
    private fun stepDown(token: FencingToken, delay: Micros) {
        role = Role.Follower(null, token)
        lease.release()
        campaign.forgetLease()
        store.setLeading(false)
        listener.deposed()
        scheduleRead(delay)
    }

    private fun scheduleRead(delay: Micros) {
        nextReadAt = context.now + delay
    }

    private fun readKey() {
        nextReadAt = null
        store.get(KEY, RequestPriority.LEASE) { result ->
            when (result) {
                is StoreResult.Ok -> {
                    val key = result.value
                    handleLeaderKey(key.data, key.version, key.lease)
                }
                is StoreResult.NotFound -> runCampaign()
                else -> scheduleRead(RETRY_PERIOD)
            }
        }
    }

    private fun handleLeaderKey(data: JsonElement, version: KeyVersion, keyLease: LeaseId?) {
        val token = FencingToken(version.value)
        val record =
            try {
                lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), data)
            } catch (e: IllegalArgumentException) {
                // The record names no leader. The store removes the key when its lease expires.
                log.error("cannot decode the leader record stored under {}: {}", KEY, e.message)
                return scheduleRead(RETRY_PERIOD)
            }
        when {
            record.member != member -> follow(record.member, token)
            keyLease == null -> scheduleRead(RETRY_PERIOD)
            record.processIncarnation == processIncarnation && campaign.isOwnLease(keyLease) -> {
                // This process wrote the key but the response was lost. The age of the lease is
                // not known, so the lease has to be renewed before it counts as valid.
                becomeLeader(Role.Leader(token, keyLease), context.now)
                lease.requireRenewalBeforeUse()
            }
            else -> {
                log.info("revoking the leader lease of a former process of {}", member)
                // Followers that kept running know the cluster and are ready to lead sooner than
                // this new process. The delay lets them campaign first.
                store.revokeLease(keyLease) { scheduleRead(RESTARTED_MEMBER_CAMPAIGN_DELAY) }
            }
        }
    }

    private fun runCampaign() {
        campaign.run { result ->
            when (result) {
                is CampaignResult.Won -> becomeLeader(result.leader, result.sentAt)
                is CampaignResult.Lost -> scheduleRead(Micros.ZERO)
                is CampaignResult.Failed -> scheduleRead(RETRY_PERIOD)
            }
        }
    }

    private fun becomeLeader(leader: Role.Leader, sentAt: Micros) {
        nextReadAt = null
        role = leader
        lease.acquire(leader, sentAt)
        store.setLeading(true)
        log.info("{} becomes the leader with fencing token {}", member, leader.token)
        listener.elected(leader)
    }

    private fun follow(leader: String, token: FencingToken) {
        val follower = Role.Follower(leader, token)
        if (role != follower) log.info("following leader {} with fencing token {}", leader, token)
        role = follower
        leaderConfirmedAt = context.now
        watchKey(Revision(token.value))
    }

    private fun watchKey(revision: Revision) {
        // The watch has priority over users' reads. Queued behind many of them, a follower would
        // not learn which controller leads.
        store.watch(KEY, revision, WATCH_TIMEOUT, RequestPriority.LEASE) { result ->
            if (role is Role.Leader) return@watch
            when (result) {
                is StoreResult.Ok ->
                    if (result.value.events.isEmpty()) {
                        leaderConfirmedAt = context.now
                        watchKey(maxOf(revision, result.value.revision))
                    } else {
                        scheduleRead(Micros.ZERO)
                    }
                else -> scheduleRead(RETRY_PERIOD)
            }
        }
    }

    companion object {
        /** The leader key in the key-value store. */
        const val KEY = "leader"
        private val RETRY_PERIOD = 300.milliseconds
        /**
         * How long the new process of a member waits after it revoked the lease of the former one.
         */
        private val RESTARTED_MEMBER_CAMPAIGN_DELAY = 500.milliseconds
        private val WATCH_TIMEOUT = 8.seconds

        /** Longer than [WATCH_TIMEOUT], because a watch without changes confirms the leader. */
        private val MAX_CONFIRMATION_AGE = 12.seconds
    }
}
