package wardmux.model

/** What a drain makes of a machine. */
enum class Maintenance {
    NONE,

    /** It takes tasks, but room for them is to be found elsewhere. */
    PREPARING,

    /** It takes no tasks. */
    CORDONED,

    /** It takes urgent tasks only, since these wait for room. */
    URGENT_ONLY,
}
