package wardmux.model

/** A task that is, or may be, on a machine. Written before its start goes out. */
class Placement(
    val job: Job,
    val task: TaskId,
    val attempt: Int,
    val machine: MachineId,
    val incarnation: Long,
    /** Kept with the placement: its machine may not have been heard of by a later leader. */
    val zone: String,
    val charge: Charge,
) {
    /** As workers name the task. */
    val name = task.toString()

    val taskAttempt: TaskAttempt
        get() = TaskAttempt(name, attempt)

    /** Written, so the start may go out. */
    var isCommitted = false

    /**
     * Read from a record. It may have been released since that was written, and its room and cap
     * given to others, so it is never started again: it is found on its machine or given up.
     */
    var isRestored = false

    /** What the machine last reported of it, or null. */
    var status: TaskStatus? = null
    var runningSince: Micros? = null

    /** The newest report that shows it, by its tick in the machine's session. */
    var lastSeenTick = -1L

    /** A start went out in this term; reports show whether it has to go out again. */
    var isStartSent = false

    /** When a start first went out in this term, by whichever way. */
    var startedAt: Micros? = null

    /** The halt in force went out directly. */
    var isStopSent = false

    /** It is being stopped: how long it may take to save. */
    var gracePeriod: Micros? = null

    /** A start of it may be on its way or was carried out, by this leader or by an earlier one. */
    val mayBeStarted: Boolean
        get() = isRestored || startedAt != null

    val isStopping: Boolean
        get() = gracePeriod != null
}
