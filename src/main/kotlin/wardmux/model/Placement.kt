package wardmux.model

/**
 * The assignment of one attempt of a task to a machine, on which the task is or may be. It is
 * recorded in the store before the start command is sent.
 */
class Placement(
    val job: Job,
    val task: TaskId,
    val attempt: Int,
    val machine: MachineId,
    /** The incarnation of the machine's worker for which the attempt was placed. */
    val incarnation: Long,
    /**
     * The zone of the machine. It is kept with the placement because a new leader that reads the
     * record may not know the machine yet.
     */
    val zone: String,
    val charge: Charge,
) {
    /** The task's text form, by which workers name it. */
    val name = task.toString()

    /** The task and the attempt number, as workers name them. */
    val taskAttempt: TaskAttempt
        get() = TaskAttempt(name, attempt)

    /** True once the placement's record is written, so that its start may be sent. */
    var isCommitted = false

    /**
     * True if this leader read the placement from a record of an earlier term. The placement may
     * have been released after that record was written, and its room and quota may have been given
     * to other tasks. It is therefore never started again: either its machine reports it, or it is
     * released.
     */
    var isRestored = false

    /** The status that the machine last reported, or null if it has reported none. */
    var status: TaskStatus? = null

    /** When the attempt was first reported as running, or null if it was not yet. */
    var runningSince: Micros? = null

    /** The tick of the newest heartbeat that lists the attempt; -1 if none does. */
    var lastSeenTick = -1L

    /**
     * True if the start was sent in this term, directly or in the response to a heartbeat, and is
     * not known to have failed. If a later heartbeat does not list the attempt, the response to it
     * may send the start again.
     */
    var isStartSent = false

    /**
     * When a start was first sent in this term, directly or in the response to a heartbeat; null if
     * none was.
     */
    var startedAt: Micros? = null
        private set

    /** True if the stop currently in force was sent as a direct command. */
    var isStopSent = false

    /** How long the task may take to save its state; null if the task is not being stopped. */
    var gracePeriod: Micros? = null

    /** True if the task is being stopped. */
    val isStopping: Boolean
        get() = gracePeriod != null

    /**
     * True if a start, sent by this leader or by an earlier one, may be in flight or may have been
     * carried out.
     */
    val mayBeStarted: Boolean
        get() = isRestored || startedAt != null

    /**
     * Returns true if the start may be sent to [machine], provided that the leader's lease is
     * valid. [machine] has to be the machine of this placement.
     */
    fun mayStartOn(machine: Machine): Boolean =
        isCommitted &&
            !isRestored &&
            incarnation == machine.incarnation &&
            !isStopping &&
            !job.hasEnded &&
            job.mayStart

    /** Records that a start is sent at [now]. */
    fun markStartSent(now: Micros) {
        isStartSent = true
        if (startedAt == null) startedAt = now
    }
}
