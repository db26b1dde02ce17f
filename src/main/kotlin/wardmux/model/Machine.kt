package wardmux.model

/** What a drain makes of a machine. */
enum class Maintenance {
    NONE,

    /** It takes tasks, but its room is to be found elsewhere. */
    LEAVING,

    /** It takes no tasks. */
    CORDONED,

    /** It takes urgent tasks only, since these wait for room. */
    YIELDING,
}

/** A machine as the leader knows it. */
class Machine(val id: MachineId, val type: MachineType, val zone: String, val spot: Boolean) {
    var incarnation = 0L
    var tick = -1L

    /** When its last report under this leader's token came that was no copy: a sign of life. */
    var lastHeartbeatAt: Micros? = null

    /** When a report of it was last answered; its lease may run from then. */
    var renewedAt = Micros.LONG_AGO

    /**
     * When its present session was first heard of, or took this leader's token: a session's first
     * lease runs unrenewed, and until then others may have renewed it.
     */
    var incarnationSince = Micros.LONG_AGO

    /** Its lease runs from here at the latest. */
    val leaseFrom: Micros
        get() = maxOf(renewedAt, incarnationSince)

    /** When it was first heard of under an older token; perhaps by a copy of an old report. */
    var firstStaleHeartbeatAt: Micros? = null

    /** Known from reports under an older token only: it may be gone for long. */
    var hasOnlyStaleHeartbeats = false

    /** The relay that its last report came through, or null if it came to the leader itself. */
    var forwardedBy: String? = null

    /** When an unsure leader last sent it on to another controller. */
    var lastRedirectAt = Micros.LONG_AGO

    /** Where it takes direct orders. */
    var endpoint = ""

    /** A direct order is under way; one at a time. */
    var isCommandInFlight = false
    var commandSentAt = Micros.LONG_AGO

    /**
     * Since when direct orders have gone unanswered in this session, so that they may be carried
     * out at any time; or null.
     */
    var startUnansweredSince: Micros? = null

    val hasUnansweredStart: Boolean
        get() = startUnansweredSince != null

    /** When a direct command last found no connection to it. */
    var connectionFailedAt = Micros.LONG_AGO

    /** A direct command found no connection, and it has not been heard since. */
    val isUnreachable: Boolean
        get() = connectionFailedAt > (lastHeartbeatAt ?: Micros.LONG_AGO)

    /** Its report is overdue, and asked for its state it did not answer; when it is asked next. */
    var probeFailed = false
    var probeAt = Micros.LONG_AGO

    /**
     * Attempts whose direct start is under way or went unanswered. While that is so, their absence
     * from a report proves nothing, and they are not forgotten: a start that is carried out after
     * it would run the attempt once more.
     */
    val unconfirmedStarts = HashSet<TaskAttempt>()

    /** Attempts that ended otherwise than done, the oldest first: when that was first reported. */
    val endedSince = LinkedHashMap<TaskAttempt, Micros>()

    /** True for one that ended more than [kept] ago, or for the oldest of very many. */
    fun mayForget(attempt: TaskAttempt, now: Micros, kept: Micros): Boolean {
        val since = endedSince.getOrPut(attempt) { now }
        val many = endedSince.size > MOST_ENDED && endedSince.keys.first() == attempt
        if (!many && now - since <= kept) return false
        endedSince.remove(attempt)
        return true
    }

    /** It has reported under this leader's token, so no earlier leader can order it about. */
    var confirmed = false
    var preemptionNoticeAt: Micros? = null

    /** When the cloud takes it, as its notice says. */
    var preemptedAt = Micros.NEVER
    var decommissioned = false

    /** It gets no new tasks, so that it can be returned once it is empty. */
    var isScalingIn = false

    /** What a drain that operators asked for makes of it. */
    var maintenance = Maintenance.NONE

    /**
     * It was rented at this time of day or before, by the lists of the cloud; null until it is
     * listed.
     */
    var rentedBefore: Micros? = null
        private set

    /** It is listed as [age] old at [wall]; lists are late, so the smallest time is the nearest. */
    fun listed(wall: Micros, age: Micros) {
        rentedBefore = minOf(rentedBefore ?: Micros.NEVER, wall - age)
    }

    var decommissionReason = ""
    var deleting = false

    var idleSince = Micros.ZERO
    var pausedUntil = Micros.LONG_AGO

    /** Jobs whose tasks failed here since one last completed, with how many did. */
    val failures = HashMap<String, Int>()

    /** By the task's name, as in reports. */
    val placements = LinkedHashMap<String, Placement>()

    /** Reported without a record: they take room until they are gone. */
    var orphans = emptyList<JobSpec>()
        set(value) {
            field = value
            orphanCpus = value.sumOf { it.cpus }
            orphanGpus = value.sumOf { it.gpus }
            orphanMemory = value.sumOf { it.memoryGb }
        }

    private var orphanCpus = 0.0
    private var orphanGpus = 0.0
    private var orphanMemory = 0.0

    private val images = LinkedHashMap<String, Image>()
    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemory = 0.0

    val isUp: Boolean
        get() = lastHeartbeatAt != null

    val isEmpty: Boolean
        get() = placements.isEmpty() && orphans.isEmpty()

    /** Something of a cancelled job may be here. */
    val holdsCancelled: Boolean
        get() = placements.values.any { it.job.isCancelled }

    /** The larger of the booked shares of CPU, GPU and memory. */
    val load: Double
        get() =
            maxOf(
                usedCpus / type.cpus,
                usedMemory / type.memoryGb,
                if (type.gpus > 0) usedGpus / type.gpus else 0.0,
            )

    /** CPUs that replicas of services hold. */
    var serviceCpus = 0.0
        private set

    val freeCpus: Double
        get() = type.cpus - usedCpus - orphanCpus

    val freeGpus: Double
        get() = type.gpus - usedGpus - orphanGpus

    val freeMemoryGb: Double
        get() = type.memoryGb - usedMemory - orphanMemory

    fun fits(spec: JobSpec): Boolean {
        val slack = MachineType.EPSILON
        return spec.cpus <= freeCpus + slack &&
            spec.gpus <= freeGpus + slack &&
            spec.memoryGb <= freeMemoryGb + slack
    }

    /** How many tasks like this it has room for now. */
    fun roomFor(spec: JobSpec): Int {
        val slack = MachineType.EPSILON
        val byCpu = if (spec.cpus > 0) (freeCpus + slack) / spec.cpus else Double.MAX_VALUE
        val byGpu = if (spec.gpus > 0) (freeGpus + slack) / spec.gpus else Double.MAX_VALUE
        val byMemory =
            if (spec.memoryGb > 0) (freeMemoryGb + slack) / spec.memoryGb else Double.MAX_VALUE
        return minOf(byCpu, byGpu, byMemory).coerceIn(0.0, 10_000.0).toInt()
    }

    fun add(placement: Placement) {
        placements[placement.name] = placement
        book(placement.job.spec, 1)
    }

    fun remove(placement: Placement, now: Micros) {
        if (placements[placement.name] !== placement) return
        placements.remove(placement.name)
        book(placement.job.spec, -1)
        if (isEmpty) idleSince = now
    }

    private fun book(spec: JobSpec, sign: Int) {
        usedCpus += sign * spec.cpus
        usedGpus += sign * spec.gpus
        usedMemory += sign * spec.memoryGb
        if (spec.kind == JobKind.SERVICE) serviceCpus += sign * spec.cpus
        if (placements.isEmpty()) {
            serviceCpus = 0.0
            usedCpus = 0.0
            usedGpus = 0.0
            usedMemory = 0.0
        }
    }

    /**
     * How long until an image is there. Fetches share the machine's rate, so one that starts now is
     * taken to come after those that are under way.
     */
    fun imageWait(image: String, gb: Double, now: Micros): Micros {
        val readyAt = images[image]?.readyAt ?: return fetchEnd(now) - now + fetchTime(gb)
        return maxOf(readyAt - now, Micros.ZERO)
    }

    /** The most recently used images stay as long as the cache holds them. */
    fun useImage(image: String, gb: Double, now: Micros) {
        val known = images.remove(image)
        images[image] = known ?: Image(gb, fetchEnd(now) + fetchTime(gb))
        var total = images.values.sumOf { it.gb }
        val oldest = images.entries.iterator()
        while (total > type.cacheGb && images.size > 1 && oldest.hasNext()) {
            total -= oldest.next().value.gb
            oldest.remove()
        }
        fetchesOver = lastFetch()
    }

    fun needs(image: String) = placements.values.any { it.job.spec.image == image }

    /** A task with this image runs. */
    fun imageReady(image: String, gb: Double, now: Micros) {
        // Known already, as in most reports.
        if ((images[image]?.readyAt ?: Micros.NEVER) <= now) return
        useImage(image, gb, now)
        val fetched = images[image] ?: return
        if (fetched.readyAt <= now) return
        fetched.readyAt = now
        fetchesOver = lastFetch()
    }

    /** No task waits for the image any more, so its fetch is given up. */
    fun fetchGivenUp(image: String, now: Micros) {
        val fetched = images[image] ?: return
        if (fetched.readyAt <= now) return
        images.remove(image)
        fetchesOver = lastFetch()
    }

    /** When the fetches that are known of are over; kept, since each choice of a machine asks. */
    private var fetchesOver = Micros.LONG_AGO

    private fun lastFetch() = images.values.maxOfOrNull { it.readyAt } ?: Micros.LONG_AGO

    private fun fetchEnd(now: Micros): Micros = maxOf(fetchesOver, now)

    private fun fetchTime(gb: Double) = (gb / type.fetchGbPerS).seconds

    private class Image(val gb: Double, var readyAt: Micros)

    private companion object {
        const val MOST_ENDED = 64
    }
}
