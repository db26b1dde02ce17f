package wardmux.model

/** What the record of a job says of it, as far as the leader knows. */
enum class JobPhase {
    /** Accepted: its tasks are to run. */
    OPEN,

    /** Its user cancelled it: its tasks are stopped. */
    CANCELLED,

    /** All its tasks have completed. */
    DONE,
}
