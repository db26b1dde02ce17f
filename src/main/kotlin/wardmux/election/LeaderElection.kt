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
 * Elects one controller as the leader: the one whose record is in the leader key, which is bound to
 * a lease of the key-value store. The fencing token is the revision of the write that took the key,
 * so a later leader's token is larger.
 *
 * A follower watches the key and campaigns once it is absent. A leader keeps its lease renewed
 * until it expires, is resigned, or a newer token is observed.
 */
class LeaderElection(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
    /** Differs between any two processes, also those of one member. */
    private val processIncarnation: String,
    private val leaseDuration: Micros,
    private val listener: Listener,
) {
    /** Is told when this controller begins and ceases to lead. */
    interface Listener {
        /** This controller leads with the token of [role]. */
        fun elected(role: Role.Leader)

        /** This controller no longer leads. */
        fun deposed()
    }

    private val log = logger<LeaderElection>()
    private val lease = LeaderLease(context, store, leaseDuration, ::leaseExpired)
    private val campaign =
        LeaderCampaign(context, store, LeaderRecord(member, processIncarnation), leaseDuration)

    /** What this controller is now. */
    var role: Role = Role.Follower(null, null)
        private set

    /** When what a follower knows of the leader was last confirmed. */
    private var leaderConfirmedAt = Micros.LONG_AGO

    /** When to read the key again; null while a request or watch is under way. */
    private var nextReadAt: Micros? = Micros.LONG_AGO

    /** This controller leads, and surely holds its lease. */
    val leaseIsValid: Boolean
        get() = lease.isValid

    /** Since when a leader's lease may have ended; null if it surely runs, or for a follower. */
    val leaseUncertainSince: Micros?
        get() = lease.uncertainSince

    /** The other controller that leads, for redirects; null if that was not confirmed lately. */
    val knownLeader: String?
        get() =
            (role as? Role.Follower)?.leader?.takeIf {
                it != member && context.now - leaderConfirmedAt < MAX_CONFIRMATION_AGE
            }

    /** Reads the key and renews the lease when these are due. */
    fun tick() {
        val due = nextReadAt
        if (due != null && context.now >= due) readKey()
        lease.tick()
    }

    /** Steps down if [token], seen in any message, is newer than this leader's own. */
    fun observeToken(token: FencingToken) {
        val leader = role as? Role.Leader ?: return
        if (token > leader.token) {
            log.info("stepping down with fencing token {}: observed {}", leader.token, token)
            stepDown(token, Micros.ZERO)
        }
    }

    /**
     * Notes that a peer says it is the [leader] with [token]. The key decides who leads; this only
     * tells sooner whom workers are to be redirected to.
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
     * Gives up leadership for another controller to take: this one has its lease, but does not
     * reach the workers. It campaigns again only after others have had the time to.
     */
    fun resign(reason: String) {
        val leader = role as? Role.Leader ?: return
        log.info("resigning with fencing token {}: {}", leader.token, reason)
        stepDown(leader.token, leaseDuration + leaseDuration)
        store.revokeLease(leader.lease) {}
    }

    /** Steps down after a write was refused because the leader key is not as it was written. */
    fun fenced() {
        val leader = role as? Role.Leader ?: return
        log.info("stepping down with fencing token {}: the leader key has changed", leader.token)
        stepDown(leader.token, Micros.ZERO)
    }

    private fun leaseExpired(leader: Role.Leader) {
        log.info("stepping down with fencing token {}: the lease has expired", leader.token)
        stepDown(leader.token, Micros.ZERO)
    }

    /** Becomes a follower that knows no leader, and reads the key again after [delay]. */
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
                // Nobody can be named; the key is removed when its lease ends.
                log.error("the leader record can't be read: {}", e.message)
                return scheduleRead(RETRY_PERIOD)
            }
        when {
            record.member != member -> follow(record.member, token)
            keyLease == null -> scheduleRead(RETRY_PERIOD)
            record.processIncarnation == processIncarnation && campaign.isOwnLease(keyLease) -> {
                // This process wrote it and the response was lost. The age of the lease is not
                // known, so it is renewed before anything rests on it.
                becomeLeader(Role.Leader(token, keyLease), context.now)
                lease.requireRenewalBeforeUse()
            }
            else -> {
                log.info("revoking the lease of a former process of this member")
                // Followers that were up meanwhile know the cluster, and lead sooner than this
                // fresh process: they go first.
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
        log.info("{} leads with fencing token {}", member, leader.token)
        listener.elected(leader)
    }

    private fun follow(leader: String, token: FencingToken) {
        val follower = Role.Follower(leader, token)
        if (role != follower) log.info("following {} with fencing token {}", leader, token)
        role = follower
        leaderConfirmedAt = context.now
        watchKey(Revision(token.value))
    }

    private fun watchKey(revision: Revision) {
        // Ahead of users' reads: behind many of these a follower would not learn who leads.
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
        /** The leader key. */
        const val KEY = "leader"
        private val RETRY_PERIOD = 300.milliseconds
        private val RESTARTED_MEMBER_CAMPAIGN_DELAY = 500.milliseconds
        private val WATCH_TIMEOUT = 8.seconds

        /** Longer than a watch that shows no change. */
        private val MAX_CONFIRMATION_AGE = 12.seconds
    }
}
