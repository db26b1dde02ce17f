package wardmux.model

/** A machine as the leader knows it. */
class Machine(val id: MachineId, val type: MachineType, val zone: String, val spot: Boolean) {

    // Its worker and the heartbeats of it.

    /** The newest incarnation of its worker that was reported. */
    var incarnation = 0L
        private set

    /** The newest heartbeat of [incarnation]. */
    var tick = -1L
        private set

    /** Host and port at which it takes direct commands; empty before its first heartbeat. */
    var endpoint = ""
        private set

    /** It has sent a heartbeat under this leader's token, so no earlier leader can command it. */
    var hasAdoptedToken = false

    /** When its last heartbeat under this leader's token was sent; null before the first. */
    var lastHeartbeatAt: Micros? = null

    /** When it first sent a heartbeat under an older token; perhaps a copy of an old one. */
    var firstStaleHeartbeatAt: Micros? = null
        private set

    /** Known from heartbeats under an older token only: it may have been deleted long ago. */
    var hasOnlyStaleHeartbeats = false

    /** The forwarder of its last heartbeat, or null if it came to the leader itself. */
    var forwardedBy: String? = null

    /** When the leader, uncertain of its lease, last redirected it to another controller. */
    var lastRedirectAt = Micros.LONG_AGO

    /** When it is probed next at the earliest. */
    var nextProbeAt = Micros.LONG_AGO

    /** It answered no probe since its last heartbeat. */
    var hasProbeFailed = false

    /** It has sent a heartbeat under this leader's token. */
    val isUp: Boolean
        get() = lastHeartbeatAt != null

    /** A new incarnation of its worker was reported, with nothing on the machine but images. */
    fun startIncarnation(incarnation: Long, now: Micros) {
        this.incarnation = incarnation
        // Direct commands name the incarnation, so those for an earlier one are refused.
        unconfirmedStarts.clear()
        endedAttempts.clear()
        startUnansweredSince = null
        incarnationSince = now
    }

    /** Its first heartbeat under this leader's token came. */
    fun adoptToken(now: Micros) {
        hasAdoptedToken = true
        // Until now an earlier leader may have renewed its lease.
        incarnationSince = now
    }

    /** A heartbeat of the present incarnation came. */
    fun recordHeartbeat(endpoint: String, tick: Long) {
        this.endpoint = endpoint
        this.tick = tick
    }

    /** A heartbeat under an older token came; perhaps a copy from before this leader's time. */
    fun recordStaleHeartbeat(now: Micros) {
        if (firstStaleHeartbeatAt == null) firstStaleHeartbeatAt = now
    }

    /** A heartbeat under this leader's token came that was sent at [sentAt]. */
    fun recordCurrentTokenHeartbeat(sentAt: Micros) {
        hasOnlyStaleHeartbeats = false
        lastHeartbeatAt = maxOf(lastHeartbeatAt ?: sentAt, sentAt)
        hasProbeFailed = false
    }

    // Its lease.

    /** When the response to a heartbeat last renewed, or may have renewed, its lease. */
    var renewedAt = Micros.LONG_AGO

    /**
     * When its present incarnation was first reported, or adopted this leader's token: the first
     * lease of an incarnation runs without a renewal, and until then others may have renewed it.
     */
    private var incarnationSince = Micros.LONG_AGO

    /** When its present lease began, by what the leader itself knows. */
    val leaseStart: Micros
        get() = maxOf(renewedAt, incarnationSince)

    // Direct commands.

    /** A direct command is in flight; there is one at a time. */
    var isCommandInFlight = false
        private set

    var commandSentAt = Micros.LONG_AGO
        private set

    /** When a direct command last found no connection to it. */
    var connectionFailedAt = Micros.LONG_AGO

    /** A direct command found no connection, and no heartbeat has come since. */
    val isUnreachable: Boolean
        get() = connectionFailedAt > (lastHeartbeatAt ?: Micros.LONG_AGO)

    /**
     * Attempts whose direct start is in flight or went unanswered. Until it is confirmed, their
     * absence from a heartbeat proves nothing, and they are not forgotten: a start that is carried
     * out afterwards would run the attempt once more.
     */
    val unconfirmedStarts = HashSet<TaskAttempt>()

    /**
     * Since when a direct start to this incarnation has gone unanswered, so that it may be carried
     * out at any time; or null.
     */
    var startUnansweredSince: Micros? = null
        private set

    val hasUnansweredStart: Boolean
        get() = startUnansweredSince != null

    /** A direct command is sent. */
    fun recordCommandSent(now: Micros) {
        isCommandInFlight = true
        commandSentAt = now
    }

    /** The outcome of the direct command in flight is known. */
    fun recordCommandOutcome() {
        isCommandInFlight = false
    }

    /** A direct start went unanswered. */
    fun recordUnansweredStart(now: Micros) {
        if (startUnansweredSince == null) startUnansweredSince = now
    }

    // Whether it is to be used.

    /** When the provider gave notice that it preempts the machine, or null. */
    var preemptionNoticeAt: Micros? = null

    /** When the provider preempts it, as its notice says. */
    var preemptedAt = Micros.NEVER
        private set

    /** It is out of use for good. */
    var isDecommissioned = false

    /** Why it was decommissioned. */
    var decommissionReason = ""
        private set

    /** That it is decommissioned is recorded, so it may be deleted. */
    var isDeletionDue = false
        private set

    /** It gets no new tasks, so that it can be returned once it is empty. */
    var isScalingIn = false

    /** What a drain that operators asked for makes of it. */
    var maintenance = Maintenance.NONE

    /** It gets no new tasks before then, because one failed or was refused. */
    var pausedUntil = Micros.LONG_AGO

    /** The tasks that failed here since one last completed, counted by job. */
    val failures = HashMap<String, Int>()

    /** The provider gave notice that it preempts the machine at [preemptedAt]. */
    fun recordPreemptionNotice(now: Micros, preemptedAt: Micros) {
        preemptionNoticeAt = now
        this.preemptedAt = preemptedAt
    }

    /** Takes it out of use for good. */
    fun decommission(reason: String) {
        isDecommissioned = true
        decommissionReason = reason
    }

    /** That it is decommissioned is recorded. */
    fun markDeletionDue() {
        isDeletionDue = true
    }

    // What the provider charges for.

    /** It was rented at this time of day or before; null until the provider has listed it. */
    var rentedBefore: Micros? = null
        private set

    /**
     * It is listed as [age] old at [wallTime]; lists are late, so the smallest time is the nearest.
     */
    fun recordListing(wallTime: Micros, age: Micros) {
        rentedBefore = minOf(rentedBefore ?: Micros.NEVER, wallTime - age)
    }

    // Its tasks.

    /** The images on it. */
    val images = ImageCache(type)

    private val resources = MachineResources(type)
    private val endedAttempts = EndedAttempts()

    /** By the task's name, as in heartbeats. */
    val placements = LinkedHashMap<String, Placement>()

    /** Reported tasks without a record: they take room until they are gone. */
    var orphans = emptyList<JobSpec>()
        set(value) {
            field = value
            resources.setOrphans(value)
        }

    /** Since when it has been empty, if it is. */
    var idleSince = Micros.ZERO

    val isEmpty: Boolean
        get() = placements.isEmpty() && orphans.isEmpty()

    /** Something of a cancelled job may be here. */
    val holdsCancelled: Boolean
        get() = placements.values.any { it.job.isCancelled }

    /** The largest of the shares of CPU, memory and GPU that placements reserve. */
    val load: Double
        get() = resources.load

    /** CPUs that replicas of services reserve. */
    val serviceCpus: Double
        get() = resources.serviceCpus

    val freeCpus: Double
        get() = resources.freeCpus

    val freeGpus: Double
        get() = resources.freeGpus

    val freeMemoryGb: Double
        get() = resources.freeMemoryGb

    /** Whether it has room for one more task like this. */
    fun fits(spec: JobSpec): Boolean = resources.fits(spec)

    /** How many more tasks like this it has room for. */
    fun roomFor(spec: JobSpec): Int = resources.roomFor(spec)

    /** The placement of this attempt here, or null. */
    fun placementOf(task: String, attempt: Int): Placement? =
        placements[task]?.takeIf { it.attempt == attempt }

    /** Whether a task here runs or will run with [image]. */
    fun needsImage(image: String): Boolean = placements.values.any { it.job.spec.image == image }

    /** A task is placed here. */
    fun add(placement: Placement) {
        placements[placement.name] = placement
        resources.reserve(placement.job.spec)
    }

    /** A task is not here any more. */
    fun remove(placement: Placement, now: Micros) {
        if (placements[placement.name] !== placement) return
        placements.remove(placement.name)
        resources.free(placement.job.spec)
        if (placements.isEmpty()) resources.clear()
        if (isEmpty) idleSince = now
    }

    /** See [EndedAttempts.mayForget]. */
    fun mayForget(attempt: TaskAttempt, now: Micros, retention: Micros): Boolean =
        endedAttempts.mayForget(attempt, now, retention)
}
