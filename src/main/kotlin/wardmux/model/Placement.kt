package wardmux.model

/** A task that is, or may be, on a machine. It is recorded before its start is sent. */
class Placement(
    val job: Job,
    val task: TaskId,
    val attempt: Int,
    val machine: MachineId,
    /** The incarnation of the machine's worker that the attempt is for. */
    val incarnation: Long,
    /** Kept with the placement: a later leader may not know the machine yet. */
    val zone: String,
    val charge: Charge,
) {
    /** As workers name the task. */
    val name = task.toString()

    /** The task and the attempt at it, as workers name them. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(name, attempt)

    /** Its record is written, so its start may be sent. */
    var isCommitted = false

    /**
     * Read from a record by a later leader. It may have been released since that was written, and
     * its room and quota given to others, so it is never started again: either it turns up on its
     * machine, or it is released.
     */
    var isRestored = false

    /** The status that its machine last reported, or null. */
    var status: TaskStatus? = null

    /** When it was first reported as running, or null. */
    var runningSince: Micros? = null

    /** The tick of the newest heartbeat that lists it. */
    var lastSeenTick = -1L

    /** A start was sent in this term; heartbeats tell whether it has to be sent again. */
    var isStartSent = false

    /** When a start was first sent in this term, directly or in a response; or null. */
    var startedAt: Micros? = null
        private set

    /** The stop in force was sent directly. */
    var isStopSent = false

    /** How long it may take to save its state, if it is being stopped; otherwise null. */
    var gracePeriod: Micros? = null

    /** It is being stopped. */
    val isStopping: Boolean
        get() = gracePeriod != null

    /** A start may be in flight or was carried out, sent by this leader or by an earlier one. */
    val mayBeStarted: Boolean
        get() = isRestored || startedAt != null

    /**
     * Whether its start may be sent to [machine], which is its own, if the leader's lease holds.
     */
    fun mayStartOn(machine: Machine): Boolean =
        isCommitted &&
            !isRestored &&
            incarnation == machine.incarnation &&
            !isStopping &&
            !job.hasEnded &&
            job.mayStart

    /** A start is sent. */
    fun markStartSent(now: Micros) {
        isStartSent = true
        if (startedAt == null) startedAt = now
    }
}
