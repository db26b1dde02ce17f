package wardmux.model

/** The phase of a job according to its stored record, as far as the leader has read it. */
enum class JobPhase {
    /** The job is accepted, and its tasks are to be run. */
    OPEN,

    /** A user cancelled the job, and its tasks are stopped. */
    CANCELLED,

    /** All tasks of the job have completed. */
    DONE,
}
