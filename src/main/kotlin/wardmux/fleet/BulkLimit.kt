package wardmux.fleet

/**
 * Limits how many machines are decommissioned at once for the same problem. If more than one in
 * [divisor] of the machines that are up have it, a network fault is more likely than faults of the
 * machines.
 */
internal enum class BulkLimit(private val divisor: Int) {
    /** The limit for most problems. */
    DEFAULT(divisor = 3),

    /** The limit for machines that are silent for a short time and did not answer a probe. */
    UNREACHABLE(divisor = 5);

    /** Whether [count] machines may be decommissioned at once while [up] machines are up. */
    fun allows(count: Int, up: Int): Boolean = count <= maxOf(ALWAYS_ALLOWED, up / divisor)

    private companion object {
        /** This many machines with the same problem are always decommissioned together. */
        const val ALWAYS_ALLOWED = 2
    }
}
