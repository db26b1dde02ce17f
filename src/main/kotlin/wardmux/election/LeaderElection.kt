package wardmux.election

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** What the `leader` key says. [boot] tells the incarnations of one member apart. */
@Serializable
data class LeaderRecord(
    @SerialName("member") val member: String,
    @SerialName("boot") val boot: String,
)

/** What a controller is to the others. */
sealed interface Role {
    /** [leader] is the last known, or null. */
    data class Follower(val leader: String?, val token: FencingToken?) : Role

    data class Leader(val token: FencingToken, val lease: LeaseId) : Role {
        /** Every write of the leader holds only while its key is as it was written. */
        val condition: VersionCondition
            get() = VersionCondition(LeaderElection.KEY, KeyVersion(token.value))
    }
}

/**
 * Leadership is a key bound to a lease of the state service. The token is the revision of the write
 * that took it, so a later leader's token is larger.
 */
class LeaderElection(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val member: String,
    /** Never the same for two processes, whatever the operators' seed. */
    private val boot: String,
    private val life: Micros,
    private val listener: Listener,
) {
    interface Listener {
        fun elected(role: Role.Leader)

        fun deposed()
    }

    private val log = logger<LeaderElection>()
    var role: Role = Role.Follower(null, null)
        private set

    private var leaseValidUntil = Micros.LONG_AGO

    /** The lease that this process was last given; any other is a former process's. */
    private var granted: LeaseId? = null

    /** When what a follower knows of the leader was last borne out. */
    private var informedAt = Micros.LONG_AGO
    private var renewAt = Micros.ZERO
    private var renewing = false

    /** When to read the key again; null while a request or watch is under way. */
    private var lookAt: Micros? = Micros.LONG_AGO

    /** True while this controller surely holds its lease. */
    val leaseIsValid: Boolean
        get() = role is Role.Leader && context.now < leaseValidUntil

    /** Since when a leader has not been sure, or null if it is, or if this is no leader. */
    val leaseUncertainSince: Micros?
        get() = if (role is Role.Leader && !leaseIsValid) maxOf(leaseValidUntil, tookAt) else null

    private var tookAt = Micros.LONG_AGO

    /** Whom to send workers to, if that is known and was so lately. */
    val leaderToName: String?
        get() =
            (role as? Role.Follower)?.leader?.takeIf {
                it != member && context.now - informedAt < STALE
            }

    fun tick() {
        val due = lookAt
        if (due != null && context.now >= due) look()
        val leader = role as? Role.Leader ?: return
        if (!renewing && context.now >= renewAt) renew(leader)
    }

    /** A token larger than this controller's own shows that another one leads. */
    fun seen(token: FencingToken) {
        val leader = role as? Role.Leader ?: return
        if (token > leader.token) {
            log.info("token {} is over: {} was seen", leader.token, token)
            depose(null, token)
            lookAgain(Micros.ZERO)
        }
    }

    /** Told by a sibling that leads; only a hint for whom to name to workers. */
    fun heard(leader: String, token: FencingToken) {
        seen(token)
        val follower = role as? Role.Follower ?: return
        if (follower.token == token) informedAt = context.now
        if (follower.token == null || token > follower.token) {
            role = Role.Follower(leader, token)
            informedAt = context.now
        }
    }

    private fun lookAgain(pause: Micros) {
        lookAt = context.now + pause
    }

    private fun look() {
        lookAt = null
        store.get(KEY, RequestPriority.LEASE) { result ->
            when (result) {
                is StoreResult.Ok ->
                    found(result.value.data, result.value.version, result.value.lease)
                is StoreResult.NotFound -> stand()
                else -> lookAgain(RETRY)
            }
        }
    }

    private fun found(
        data: kotlinx.serialization.json.JsonElement,
        version: KeyVersion,
        lease: LeaseId?,
    ) {
        val record =
            try {
                lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), data)
            } catch (e: IllegalArgumentException) {
                // Nobody to name; its lease's end removes it.
                log.error("the leader's record can't be read: {}", e.message)
                return lookAgain(RETRY)
            }
        when {
            record.member != member -> follow(record.member, FencingToken(version.value))
            record.boot == boot && lease != null && lease == granted -> {
                // Our own write whose response was lost.
                take(Role.Leader(FencingToken(version.value), lease), context.now)
                // How old the lease is isn't known, so it is renewed before anything starts.
                leaseValidUntil = Micros.LONG_AGO
                renewAt = context.now
            }
            lease != null -> {
                log.info("ending the lease of this member's former process")
                // Those that were up meanwhile are warm, and lead sooner than this fresh process.
                store.revokeLease(lease) { lookAgain(HEAD_START) }
            }
            else -> lookAgain(RETRY)
        }
    }

    private fun stand() {
        val askedAt = context.now
        store.grantLease(life) { granted ->
            if (granted !is StoreResult.Ok) {
                lookAgain(RETRY)
                return@grantLease
            }
            val lease = granted.value
            this.granted = lease
            val record = LeaderRecord(member, boot)
            val change =
                WriteOperation(
                    put = KEY,
                    data = lenientJson.encodeToJsonElement(LeaderRecord.serializer(), record),
                    lease = lease,
                )
            store.compareAndSwap(
                listOf(VersionCondition(KEY, KeyVersion.ABSENT)),
                listOf(change),
                RequestPriority.LEASE,
            ) { written ->
                when (written) {
                    is StoreResult.Ok ->
                        take(Role.Leader(FencingToken(written.value.value), lease), askedAt)
                    is StoreResult.Conflict -> {
                        store.revokeLease(lease) {}
                        lookAgain(Micros.ZERO)
                    }
                    else -> lookAgain(RETRY)
                }
            }
        }
    }

    private fun take(leader: Role.Leader, since: Micros) {
        lookAt = null
        role = leader
        tookAt = context.now
        leaseValidUntil = until(since)
        renewAt = since + life * RENEW_PART
        renewing = false
        store.setLeading(true)
        log.info("{} leads with token {}", member, leader.token)
        listener.elected(leader)
    }

    private fun follow(leader: String, token: FencingToken) {
        if (role != Role.Follower(leader, token))
            log.info("following {} with token {}", leader, token)
        role = Role.Follower(leader, token)
        informedAt = context.now
        watch(Revision(token.value))
    }

    private fun watch(from: Revision) {
        // Before users' questions: behind many of them a follower would not learn who leads.
        store.watch(KEY, from, WATCH_TIME, RequestPriority.LEASE) { result ->
            if (role is Role.Leader) return@watch
            when (result) {
                is StoreResult.Ok ->
                    if (result.value.events.isEmpty()) {
                        informedAt = context.now
                        watch(maxOf(from, result.value.revision))
                    } else {
                        lookAgain(Micros.ZERO)
                    }
                else -> lookAgain(RETRY)
            }
        }
    }

    private fun renew(leader: Role.Leader) {
        renewing = true
        val sentAt = context.now
        store.renewLease(leader.lease) { result ->
            if (role != leader) return@renewLease
            renewing = false
            when (result) {
                is StoreResult.Ok -> {
                    leaseValidUntil = until(sentAt)
                    renewAt = sentAt + life * RENEW_PART
                }
                is StoreResult.NotFound -> {
                    log.info("the lease of token {} is over", leader.token)
                    depose(null, leader.token)
                    lookAgain(Micros.ZERO)
                }
                else -> renewAt = context.now + RETRY
            }
        }
    }

    private fun depose(leader: String?, token: FencingToken?) {
        role = Role.Follower(leader, token)
        leaseValidUntil = Micros.LONG_AGO
        // Should the key still stand, it is not taken again: one token must not lead twice.
        granted = null
        store.setLeading(false)
        listener.deposed()
    }

    /**
     * Given up for another controller to take: this one is sure of its lease, but does not hear its
     * workers. It stands again only when others have had time to.
     */
    fun abdicate(why: String) {
        val leader = role as? Role.Leader ?: return
        log.info("token {} is given up: {}", leader.token, why)
        depose(null, leader.token)
        store.revokeLease(leader.lease) {}
        lookAgain(life + life)
    }

    /** A write was refused because the leader key isn't as it was written. */
    fun fenced() {
        val leader = role as? Role.Leader ?: return
        log.info("fenced: token {} is over", leader.token)
        depose(null, leader.token)
        lookAgain(Micros.ZERO)
    }

    /** Counted from before the request was sent, with the clocks' drift and a margin. */
    private fun until(sentAt: Micros) = sentAt + life * (1 - MAX_CLOCK_DRIFT) - MARGIN

    companion object {
        const val KEY = "leader"
        private const val RENEW_PART = 0.3
        private val MARGIN = 100.milliseconds
        private val RETRY = 300.milliseconds
        private val HEAD_START = 500.milliseconds
        private val WATCH_TIME = 8.seconds

        /** Longer than a watch that tells of no change. */
        private val STALE = 12.seconds
    }
}
