package wardmux.model

/** The restriction that a drain puts on a machine. */
enum class Maintenance {
    /** No drain restricts the machine. */
    NONE,

    /** The machine accepts tasks, but replacement capacity is being provided on other machines. */
    PREPARING,

    /** The machine accepts no new tasks. */
    CORDONED,

    /** The machine accepts only urgent tasks, because some of these are waiting for room. */
    URGENT_ONLY,
}
