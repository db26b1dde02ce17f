package wardmux.model

/** The leader's knowledge of a machine. */
class Machine(val id: MachineId, val type: MachineType, val zone: String, val spot: Boolean) {

    // The machine's worker and its heartbeats.

    /** The newest reported incarnation of the machine's worker. */
    var incarnation = 0L
        private set

    /** The tick of the newest heartbeat of [incarnation]; -1 before the first. */
    var tick = -1L
        private set

    /**
     * Host and port at which the worker accepts direct commands; empty before its first heartbeat.
     */
    var endpoint = ""
        private set

    /**
     * True if the worker has sent a heartbeat with this leader's token, so that no earlier leader
     * can command it any more.
     */
    var hasAdoptedToken = false

    /** When the last heartbeat with this leader's token was sent; null before the first. */
    var lastHeartbeatAt: Micros? = null

    /**
     * When a heartbeat with an older token first arrived, or null. Because of delayed delivery, it
     * may be a copy of a heartbeat that was sent long before.
     */
    var firstStaleHeartbeatAt: Micros? = null
        private set

    /**
     * True if the machine became known from a heartbeat, has sent none with this leader's token and
     * has not been listed by the provider. It may have been deleted long ago.
     */
    var hasOnlyStaleHeartbeats = false

    /**
     * The controller that forwarded the last heartbeat, or null if the leader received it directly.
     */
    var forwardedBy: String? = null

    /**
     * When the leader last redirected the worker to another controller because the leader was not
     * certain of its own lease.
     */
    var lastRedirectAt = Micros.LONG_AGO

    /** The earliest time of the next probe of the machine. */
    var nextProbeAt = Micros.LONG_AGO

    /** True if a probe of the machine has gone unanswered since its last heartbeat. */
    var hasProbeFailed = false

    /** True if the worker has sent a heartbeat with this leader's token. */
    val isUp: Boolean
        get() = lastHeartbeatAt != null

    /**
     * Records that a new [incarnation] of the worker was reported. Images on the machine remain,
     * but it has no tasks.
     */
    fun startIncarnation(incarnation: Long, now: Micros) {
        this.incarnation = incarnation
        directStarts.clear()
        hasOverdueStart = false
        endedAttempts = 0
        incarnationSince = now
    }

    /** Records that the first heartbeat with this leader's token arrived. */
    fun adoptToken(now: Micros) {
        hasAdoptedToken = true
        // Until now an earlier leader may have renewed the machine's lease.
        incarnationSince = now
    }

    /** Records that a heartbeat of the current incarnation arrived. */
    fun recordHeartbeat(endpoint: String, tick: Long) {
        this.endpoint = endpoint
        this.tick = tick
    }

    /**
     * Records that a heartbeat with an older token arrived, possibly as a delayed copy of one that
     * was sent before this leader's term.
     */
    fun recordStaleHeartbeat(now: Micros) {
        if (firstStaleHeartbeatAt == null) firstStaleHeartbeatAt = now
    }

    /** Records that a heartbeat with this leader's token arrived, which was sent at [sentAt]. */
    fun recordCurrentTokenHeartbeat(sentAt: Micros) {
        hasOnlyStaleHeartbeats = false
        hasOverdueFirstHeartbeat = false
        lastHeartbeatAt = maxOf(lastHeartbeatAt ?: sentAt, sentAt)
        hasProbeFailed = false
    }

    // The machine's lease.

    /** When the response to a heartbeat last renewed, or may have renewed, the machine's lease. */
    var renewedAt = Micros.LONG_AGO

    /**
     * When the current incarnation was first reported, or when it adopted this leader's token if
     * that was later. The first lease of an incarnation runs without a renewal, and until the token
     * is adopted other leaders may have renewed the lease.
     */
    private var incarnationSince = Micros.LONG_AGO

    /** The latest start of the current lease that the leader itself knows of. */
    val leaseStart: Micros
        get() = maxOf(renewedAt, incarnationSince)

    // Direct commands.

    /** True while a direct command is in flight. There is at most one at a time. */
    var isCommandInFlight = false
        private set

    /** When a direct command was last sent. */
    var commandSentAt = Micros.LONG_AGO
        private set

    /** When the connection for a direct command last failed. */
    var connectionFailedAt = Micros.LONG_AGO

    /**
     * True if the connection for a direct command failed and no later heartbeat has arrived since.
     */
    val isUnreachable: Boolean
        get() = connectionFailedAt > (lastHeartbeatAt ?: Micros.LONG_AGO)

    /** The direct starts to the current incarnation that may still be carried out. */
    val directStarts = DirectStarts()

    /**
     * True if a direct start to the current incarnation is unanswered and the worker does not list
     * its task. The machine then gets no further tasks.
     */
    val hasUnansweredStart: Boolean
        get() = directStarts.unansweredSince != null

    /**
     * True if heartbeats have for long not listed a task whose start was sent. The machine then
     * does not count as capacity.
     */
    var hasOverdueStart = false

    /** Records that a direct command is sent. */
    fun recordCommandSent(now: Micros) {
        isCommandInFlight = true
        commandSentAt = now
    }

    /** Records that the outcome of the direct command in flight is known. */
    fun recordCommandOutcome() {
        isCommandInFlight = false
    }

    // Whether the machine may be used.

    /** When the cloud provider's preemption notice arrived, or null if there is none. */
    var preemptionNoticeAt: Micros? = null

    /** When the provider preempts the machine according to its notice. */
    var preemptedAt = Micros.NEVER
        private set

    /**
     * True unless the machine is out of use or about to be, or there is a reason to doubt that it
     * will take tasks. Only such machines may count as capacity for work that waits.
     */
    val isExpectedToServe: Boolean
        get() =
            !isDecommissioned &&
                preemptionNoticeAt == null &&
                !hasOnlyStaleHeartbeats &&
                !hasOverdueStart &&
                !hasOverdueFirstHeartbeat

    /** True if the machine is permanently out of use. */
    var isDecommissioned = false

    /** Why the machine was decommissioned; empty if it was not. */
    var decommissionReason = ""
        private set

    /**
     * True once the store records that the machine is decommissioned, so that it may be deleted.
     */
    var isDeletionDue = false
        private set

    /**
     * True if the machine gets no new tasks, so that it can be returned to the provider once it is
     * empty.
     */
    var isScalingIn = false

    /** The restriction that a drain requested by operators puts on the machine. */
    var maintenance = Maintenance.NONE

    /** The machine gets no new tasks before this time, because a task failed or was refused. */
    var pausedUntil = Micros.LONG_AGO

    /** The number of tasks that failed here since a task last completed, by job id. */
    val failures = HashMap<String, Int>()

    /** Records the provider's notice that it preempts the machine at [preemptedAt]. */
    fun recordPreemptionNotice(now: Micros, preemptedAt: Micros) {
        preemptionNoticeAt = now
        this.preemptedAt = preemptedAt
    }

    /** Takes the machine out of use permanently. */
    fun decommission(reason: String) {
        isDecommissioned = true
        decommissionReason = reason
    }

    /** Marks that the store records the machine as decommissioned, so that it may be deleted. */
    fun markDeletionDue() {
        isDeletionDue = true
    }

    // The rental of the machine.

    /**
     * When the provider last confirmed to this leader that the machine exists, by the response to a
     * rental request or by its list; null if it never did.
     */
    var confirmedByProviderAt: Micros? = null
        private set

    /** When the provider's list first gave the machine as running; null before that. */
    var listedRunningSince: Micros? = null
        private set

    /**
     * True if the machine has been listed as running for long without a heartbeat under this
     * leader's token. It then does not count as capacity.
     */
    var hasOverdueFirstHeartbeat = false

    /** Records that the provider confirmed at [now] that the machine exists. */
    fun recordProviderConfirmation(now: Micros) {
        confirmedByProviderAt = now
    }

    /** Records that the provider's list gives the machine as running. */
    fun recordListedRunning(now: Micros) {
        if (listedRunningSince == null) listedRunningSince = now
    }

    /**
     * The time of day at or before which the machine was rented; null until the provider has listed
     * the machine.
     */
    var rentedBefore: Micros? = null
        private set

    /**
     * Records that the provider's list, read at the time of day [wallTime], gives the machine's age
     * as [age]. Lists may be outdated, so the earliest rental time computed from them is the most
     * accurate.
     */
    fun recordListing(wallTime: Micros, age: Micros) {
        rentedBefore = minOf(rentedBefore ?: Micros.NEVER, wallTime - age)
    }

    // The machine's tasks.

    /** The images that are estimated to be on the machine. */
    val images = ImageCache(type)

    private val resources = MachineResources(type)

    /** The number of ended attempts that the newest heartbeat lists. */
    var endedAttempts = 0

    /** The placements on the machine, by the task name that heartbeats use. */
    val placements = LinkedHashMap<String, Placement>()

    /** Reported tasks without a record. They occupy resources until they are gone. */
    var orphans = emptyList<JobSpec>()
        set(value) {
            field = value
            resources.setOrphans(value)
        }

    /** The time since which the machine has been empty; only meaningful while it is empty. */
    var idleSince = Micros.ZERO

    /** True if no placement or orphan is on the machine. */
    val isEmpty: Boolean
        get() = placements.isEmpty() && orphans.isEmpty()

    /** True if a task of a cancelled job may be on the machine. */
    val holdsCancelled: Boolean
        get() = placements.values.any { it.job.isCancelled }

    /** The largest of the shares of CPUs, memory and GPUs that placements reserve, from 0 to 1. */
    val load: Double
        get() = resources.load

    /** The CPUs that replicas of services reserve. */
    val serviceCpus: Double
        get() = resources.serviceCpus

    val freeCpus: Double
        get() = resources.freeCpus

    val freeGpus: Double
        get() = resources.freeGpus

    val freeMemoryGb: Double
        get() = resources.freeMemoryGb

    /**
     * The number of further tasks that the machine may get, at least 0, so that its heartbeats can
     * list all of its tasks. Ended attempts count until the machine has forgotten them.
     */
    val listingRoom: Int
        get() {
            val listed = placements.size + orphans.size + endedAttempts
            return (MAX_LISTED_TASKS - listed).coerceAtLeast(0)
        }

    /** Returns true if the machine has room for one more task of [spec]. */
    fun fits(spec: JobSpec): Boolean = listingRoom > 0 && resources.fits(spec)

    /** The number of further tasks of [spec] for which the machine has room. */
    fun roomFor(spec: JobSpec): Int = minOf(resources.roomFor(spec), listingRoom)

    /** The placement of this [attempt] of [task] on the machine, or null if there is none. */
    fun placementOf(task: String, attempt: Int): Placement? =
        placements[task]?.takeIf { it.attempt == attempt }

    /** Returns true if a task on this machine runs or will run with [image]. */
    fun needsImage(image: String): Boolean = placements.values.any { it.job.spec.image == image }

    /** Adds [placement] and reserves its resources. */
    fun add(placement: Placement) {
        placements[placement.name] = placement
        resources.reserve(placement.job.spec)
    }

    /** Removes [placement], which is no longer on the machine, and frees its resources. */
    fun remove(placement: Placement, now: Micros) {
        if (placements[placement.name] !== placement) return
        placements.remove(placement.name)
        resources.free(placement.job.spec)
        if (placements.isEmpty()) resources.clear()
        if (isEmpty) idleSince = now
    }

    companion object {
        /**
         * The most tasks that a machine may have to list in a heartbeat, ended ones included. The
         * protocol limits a heartbeat to 64 KiB, and a longer one is refused, so that the worker
         * would lose its lease. A listed task takes up to 100 bytes.
         */
        const val MAX_LISTED_TASKS = 600
    }
}
